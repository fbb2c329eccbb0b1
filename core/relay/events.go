package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// maxEventBytes is the maximum size of an event. Events usually hold a few tokens.
const maxEventBytes = 1 << 20

// eventBufferBytes is the size of the read buffer of a stream: a few events.
const eventBufferBytes = 1024

var (
	errEventOrder    = errors.New("an event of the stream is missing or repeated")
	errEventText     = errors.New("the stream has text that is no field of an event")
	errPartialEvent  = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	errNoEvent       = fmt.Errorf("the stream ended with its connection and has no event: %w", io.ErrUnexpectedEOF)
	errEventTooLarge = fmt.Errorf("an event of the stream has more than %d bytes", maxEventBytes)
)

// event is one event of a stream, including the empty line that ends it.
type event struct {
	raw []byte
	// id is the id of the event, and hasID is set if it has one, which may be empty.
	id    string
	hasID bool
}

// eventReader reads a stream event by event.
type eventReader struct {
	lines *bufio.Reader
	raw   []byte
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

func newEventReader(read func(p []byte) (int, error)) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(readFunc(read), eventBufferBytes)}
}

// next returns the next complete event. Its bytes are valid until the next call. The error is io.EOF after the last
// event of a complete stream. A stream that ends inside an event was broken off, however its end was framed; the partial
// event is dropped.
func (e *eventReader) next() (event, error) {
	e.raw = e.raw[:0]
	var id string
	hasID := false
	lineStart := 0
	for {
		part, err := e.lines.ReadSlice('\n')
		e.raw = append(e.raw, part...)
		switch {
		case len(e.raw) > maxEventBytes:
			return event{}, &AttemptError{Kind: Invalid, Sent: true, Err: errEventTooLarge}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			if len(e.raw) > 0 {
				return event{}, &AttemptError{Kind: Broken, Sent: true, Err: errPartialEvent}
			}
			return event{}, io.EOF
		case err != nil:
			return event{}, err
		}
		line := bytes.TrimSuffix(e.raw[lineStart:len(e.raw)-1], []byte("\r"))
		lineStart = len(e.raw)
		if len(line) == 0 {
			return event{raw: e.raw, id: id, hasID: hasID}, nil
		}
		name, value, ok := field(line)
		if !ok {
			return event{}, &AttemptError{Kind: Invalid, Sent: true, Err: errEventText}
		}
		if name == "id" {
			id, hasID = string(bytes.TrimSpace(value)), true
		}
	}
}

// field returns the name and the value of a line; the name of a comment is empty. It reports false if the line is neither. The format ignores
// unknown fields, so that any text would be one; here their names are words, and a colon ends them. A carriage return alone would end a line,
// and with it an event, for some callers.
func field(line []byte) (name string, value []byte, ok bool) {
	before, value, hasValue := bytes.Cut(line, []byte(":"))
	if bytes.IndexByte(line, '\r') >= 0 {
		return "", nil, false
	}
	switch name = string(before); name {
	case "", "data", "event", "id", "retry":
		return name, value, true
	default:
		return name, value, hasValue && !strings.ContainsFunc(name, func(c rune) bool { return !isWordRune(c) })
	}
}

// isWordRune reports whether a rune may be in the name of a field.
func isWordRune(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
}

// follows reports whether an event id may come directly after the previous one. After a number only the next one
// may; other ids must differ.
func follows(id, previous string) bool {
	p, err := strconv.ParseInt(previous, 10, 64)
	if err != nil {
		return id != previous
	}
	n, err := strconv.ParseInt(id, 10, 64)
	return err == nil && n == p+1
}
