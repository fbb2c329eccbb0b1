package relay

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"slices"
	"strconv"

	"cranberryrail/core/memory"
)

// maxEventBytes is the maximum size of an event. Events usually hold a few tokens.
const maxEventBytes = 1 << 20

// eventBufferBytes is the size of the read buffer of a stream: a few events.
const eventBufferBytes = 1024

var (
	errEventOrder    = errors.New("an event of the stream is missing or repeated")
	errEventID       = errors.New("an event of a resumed stream has no id")
	errEventText     = errors.New("the stream has text that is no field of an event")
	errPartialEvent  = fmt.Errorf("the stream ended inside an event: %w", io.ErrUnexpectedEOF)
	errNoEvent       = fmt.Errorf("the stream ended before its first event: %w", io.ErrUnexpectedEOF)
	errEventTooLarge = fmt.Errorf("an event of the stream has more than %d bytes", maxEventBytes)
)

// event is one event of a stream, including the empty line that ends it and the blocks without data before it.
type event struct {
	raw []byte
	// held is how many bytes are counted for raw until the event is forwarded.
	held int
	// id is the last id up to the event, and hasID is set if it is the event's own.
	id    string
	hasID bool
}

// block is what an empty line ends. It is an event if it has data; others hold comments, the time to reconnect, or an id.
type block struct {
	id             string
	hasID, hasData bool
}

// eventReader reads a stream event by event.
type eventReader struct {
	lines *bufio.Reader
	// raw is the event that is being read, and held is how many bytes holder counts for it.
	raw    []byte
	held   int
	holder *memory.Holder
	// lastID is the id that the next one must follow; empty if any may.
	lastID string
	// needsID is set if the next event must have an id, and joined if the events follow those of another target.
	needsID, joined bool
}

type readFunc func(p []byte) (int, error)

func (f readFunc) Read(p []byte) (int, error) { return f(p) }

// newEventReader returns a reader of the events that follow the one with an id; empty for a stream from its beginning.
func newEventReader(read func(p []byte) (int, error), holder *memory.Holder, lastID string, joined bool) *eventReader {
	return &eventReader{lines: bufio.NewReaderSize(readFunc(read), eventBufferBytes), holder: holder, lastID: lastID, needsID: lastID != "", joined: joined}
}

// take returns an event whose bytes stay valid: a copy of a small one, and the only copy of a large one.
func (e *eventReader) take(ev event) event {
	if e.held == 0 {
		ev.raw = slices.Clone(ev.raw)
		return ev
	}
	ev.held = e.held
	e.raw, e.held = nil, 0
	return ev
}

// count counts the memory of the event that is being read, of which n bytes have just come, unless it is small.
func (e *eventReader) count(n int) error {
	size := cap(e.raw)
	switch {
	case size <= memory.SmallBytes:
		return nil
	case size == e.held:
		e.holder.Progress(n)
		return nil
	}
	added := size - e.held
	e.held = size
	if e.holder.Add(added) != nil {
		return usedUpError()
	}
	return nil
}

// next returns the next complete event. Its bytes are valid until the next call. The error is io.EOF after the last
// event of a complete stream, with the blocks that come after it. A stream that ends inside an event was broken off, however
// its end was framed; the partial event is dropped.
func (e *eventReader) next() (event, error) {
	e.raw = e.raw[:0]
	for {
		start := len(e.raw)
		b, err := e.readBlock()
		if err != nil {
			return event{raw: e.raw}, err
		}
		if e.joined && !b.hasData {
			e.raw = e.raw[:start]
			continue
		}
		if err := e.checkID(b); err != nil {
			return event{}, &AttemptError{Kind: Invalid, Sent: true, Err: err}
		}
		if b.hasID {
			e.lastID = b.id
		}
		if b.hasData {
			e.needsID = e.joined
			return event{raw: e.raw, id: e.lastID, hasID: b.hasID}, nil
		}
	}
}

// checkID returns an error if a block may not come after those before it.
func (e *eventReader) checkID(b block) error {
	switch {
	case b.hasID && e.lastID != "" && !follows(b.id, e.lastID):
		return errEventOrder
	case b.hasData && e.needsID && !b.hasID:
		return errEventID
	default:
		return nil
	}
}

// readBlock reads a block and appends it to the raw bytes.
func (e *eventReader) readBlock() (block, error) {
	var b block
	start := len(e.raw)
	for lineStart := start; ; {
		part, err := e.lines.ReadSlice('\n')
		e.raw = append(e.holder.Grow(e.raw, len(part)), part...)
		if err := e.count(len(part)); err != nil {
			return b, err
		}
		switch {
		case len(e.raw) > maxEventBytes:
			return b, &AttemptError{Kind: Invalid, Sent: true, Err: errEventTooLarge}
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		case err == io.EOF: //nolint:errorlint // Read returns io.EOF itself
			if len(e.raw) > start {
				return b, &AttemptError{Kind: Broken, Sent: true, Err: errPartialEvent}
			}
			return b, io.EOF
		case err != nil:
			return b, err
		}
		line := bytes.TrimSuffix(e.raw[lineStart:len(e.raw)-1], []byte("\r"))
		lineStart = len(e.raw)
		if len(line) == 0 {
			return b, nil
		}
		if !b.add(line) {
			return b, &AttemptError{Kind: Invalid, Sent: true, Err: errEventText}
		}
	}
}

// add adds a line to the block and reports whether it is a comment or a field. The format ignores unknown fields, so that any text would be
// one; here their names are words, and a colon ends them. A carriage return alone would end a line, and with it an event, for some callers.
func (b *block) add(line []byte) bool {
	if bytes.IndexByte(line, '\r') >= 0 {
		return false
	}
	name, value, hasValue := bytes.Cut(line, []byte(":"))
	switch string(name) {
	case "":
	case "data":
		b.hasData = true
	case "id":
		b.id, b.hasID = string(bytes.TrimSpace(value)), true
	case "event", "retry":
	default:
		return hasValue && !bytes.ContainsFunc(name, func(c rune) bool { return !isWordRune(c) })
	}
	return true
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
