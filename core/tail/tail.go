// Package tail follows and writes streams of the platform's log. It holds no
// sockets: the log is reached through the function fields of Log.
//
// A Follower delivers the records of one stream in order. A Writer groups items
// into batches and has one append outstanding at a time: it sends a batch again
// until the batch was read back. A Gate drops what a fold has already seen.
package tail

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Entry is one record of a stream.
type Entry struct {
	// Offset is the position of the record in its stream.
	Offset int64
	// Data is the content of the record.
	Data []byte
}

// Page is the answer to one read of a stream.
type Page struct {
	// Entries are the records in order; empty when there was none in time.
	Entries []Entry
	// Head is the offset that the next appended record gets.
	Head int64
}

// Log is how a stream is reached. Both functions may be slow or fail; an error of
// Append leaves open whether the record was written.
type Log struct {
	// Append adds a record to a stream and returns its offset.
	Append func(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on and waits up to wait for the first one. It
	// returns a *TrimmedError when records from the offset on are no longer kept.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// TrimmedError tells that records which were asked for are no longer kept.
type TrimmedError struct {
	Stream   string
	From     int64
	Earliest int64
}

// Error implements the error interface.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: records from offset %d are no longer kept; the earliest is %d", e.Stream, e.From, e.Earliest)
}

// Item is one typed message within a batch.
type Item struct {
	_ struct{} `cbor:",toarray"`
	// Kind names the message; its owner is the slice that folds the stream.
	Kind string
	// Body is the encoded message.
	Body cbor.RawMessage
}

// BatchFormat is the number of the batch encoding that this build writes.
const BatchFormat = 1

// Batch is one record of a stream: the items that one incarnation wrote together.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Format is the number of the batch encoding.
	Format int
	// Inc is the incarnation of the writer, a random id made at process start.
	Inc string
	// Seq counts the batches of the incarnation from 1.
	Seq uint64
	// Base is the offset up to which the writer had read when it sent its first batch;
	// it is 0 in all later ones.
	Base int64
	// Items are the messages in the order in which they are folded.
	Items []Item
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decMode has no limits on sizes, because the states of large folds exceed the usual ones.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns v in deterministic CBOR, so that equal values have equal bytes.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode reads what Encode wrote.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// NewItem encodes body as an item of the given kind. It panics when body has a type
// that CBOR can't carry, which is a programming error.
func NewItem(kind string, body any) Item {
	b, err := Encode(body)
	if err != nil {
		panic(err)
	}
	return Item{Kind: kind, Body: b}
}

// FormatError tells that a record has a batch format that this build can't read.
type FormatError struct {
	Format int
}

// Error implements the error interface.
func (e *FormatError) Error() string {
	return fmt.Sprintf("batch format %d is not known to this build; upgrade the instance", e.Format)
}

// DecodeBatch reads a batch from a record.
func DecodeBatch(data []byte) (Batch, error) {
	format, err := formatOf(data)
	if err != nil {
		return Batch{}, err
	}
	if format != BatchFormat {
		return Batch{}, &FormatError{Format: format}
	}
	var b Batch
	if err := Decode(data, &b); err != nil {
		return Batch{}, err
	}
	return b, nil
}

// formatOf reads the format number alone, so that a later format with further fields is
// told from a record that is no batch.
func formatOf(data []byte) (int, error) {
	var fields []cbor.RawMessage
	if err := Decode(data, &fields); err != nil {
		return 0, err
	}
	if len(fields) == 0 {
		return 0, &FormatError{}
	}
	var format int
	err := Decode(fields[0], &format)
	return format, err
}
