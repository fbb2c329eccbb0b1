package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
)

// maxEvent is the largest event that is passed on, in bytes; events hold some tokens.
const maxEvent = 1 << 20

// eventBuffer is the size of the buffer of a stream, in bytes: some events.
const eventBuffer = 1024

var (
	errOrder = errors.New("an event is missing or comes twice")
	errLarge = fmt.Errorf("an event has more than %d bytes", maxEvent)
)

// event is one event of a stream, with the empty line that ends it.
type event struct {
	raw []byte
	id  string
}

// events reads a stream event by event.
type events struct {
	lines *bufio.Reader
	raw   []byte
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

func newEvents(read func(p []byte) (int, error)) *events {
	return &events{lines: bufio.NewReaderSize(readFunc(read), eventBuffer)}
}

// next returns the next whole event; its bytes are valid until the next call. At the end of
// a stream that is complete it returns what is left with io.EOF; what is left of a stream
// that broke off is dropped.
func (e *events) next() (event, error) {
	e.raw = e.raw[:0]
	var id string
	line := 0
	for {
		part, err := e.lines.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > maxEvent:
			return event{}, &AttemptError{Kind: Garbled, Sent: true, Err: errLarge}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			return event{raw: e.raw, id: id}, io.EOF
		case err != nil:
			return event{}, err
		}
		text := bytes.TrimRight(e.raw[line:], "\r\n")
		line = len(e.raw)
		if len(text) == 0 {
			return event{raw: e.raw, id: id}, nil
		}
		if value, ok := bytes.CutPrefix(text, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
}

// follows reports whether an event may come right after another: ids that are numbers go up
// by one.
func follows(id, after string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	before, errBefore := strconv.ParseInt(after, 10, 64)
	if err != nil || errBefore != nil {
		return id != after
	}
	return n == before+1
}
