// Package tail follows and writes streams of the platform's log. It opens no connections: it
// accesses the log through the function fields of Log.
//
// A Follower delivers the records of one stream in order. A Writer groups items into batches
// and keeps at most one append in flight: it resends a batch until the batch has been read back
// from the stream. A Deduplicator drops duplicates of batches that were already folded.
package tail

import (
	"context"
	"fmt"
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Record is one record of a stream, with its offset.
type Record struct {
	// Offset is the position of the record in its stream.
	Offset int64
	// Data is the content of the record.
	Data []byte
}

// Page is the result of one read of a stream.
type Page struct {
	// Records are the records in order; empty if none arrived within the wait.
	Records []Record
	// Head is the offset of the next record to be appended.
	Head int64
}

// Log provides access to streams. Both functions may be slow or fail; after an error of
// Append, the record may or may not have been written.
type Log struct {
	// Append adds a record to a stream and returns its offset.
	Append func(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns records from an offset on and waits up to wait for the first one. It
	// returns a *TrimmedError if records from the offset on are no longer retained.
	Read func(ctx context.Context, stream string, from int64, wait time.Duration) (Page, error)
}

// TrimmedError reports that requested records are no longer retained.
type TrimmedError struct {
	Stream   string
	From     int64
	Earliest int64
}

// Error implements the error interface.
func (e *TrimmedError) Error() string {
	return fmt.Sprintf("stream %s: the record at offset %d is no longer retained; the earliest is %d",
		e.Stream, e.From, e.Earliest)
}

// Item is one typed message within a batch.
type Item struct {
	_ struct{} `cbor:",toarray"`
	// Kind is the type of the message, defined by the package that folds the stream.
	Kind string
	// Body is the encoded message.
	Body cbor.RawMessage
}

// BatchFormat is the version of the batch encoding that this build writes.
const BatchFormat = 1

// Batch is one record of a stream: items that one incarnation wrote together.
type Batch struct {
	_ struct{} `cbor:",toarray"`
	// Format is the version of the batch encoding.
	Format int
	// Incarnation is the incarnation of the writer, a random id generated at process start.
	Incarnation string
	// Seq numbers the batches of the incarnation from 1; it is 0 in a batch that carries a snapshot part.
	Seq uint64
	// Base is the offset up to which the writer had read when it sent its first batch;
	// it is 0 in later batches.
	Base int64
	// Items are the messages in folding order.
	Items []Item
}

var encMode = func() cbor.EncMode {
	m, err := cbor.CoreDetEncOptions().EncMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// decMode raises the size limits of arrays and maps, because the states of large folds exceed the defaults.
var decMode = func() cbor.DecMode {
	m, err := cbor.DecOptions{MaxArrayElements: math.MaxInt32, MaxMapPairs: math.MaxInt32}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// Encode returns v in deterministic CBOR, so that equal values have equal encodings.
func Encode(v any) ([]byte, error) {
	b, err := encMode.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("encode %T: %w", v, err)
	}
	return b, nil
}

// Decode decodes data written by Encode into v.
func Decode(data []byte, v any) error {
	if err := decMode.Unmarshal(data, v); err != nil {
		return fmt.Errorf("decode %T: %w", v, err)
	}
	return nil
}

// NewItem encodes body as an item of the given kind. It panics if the type of body cannot be encoded
// in CBOR, which is a programming error.
func NewItem(kind string, body any) Item {
	b, err := Encode(body)
	if err != nil {
		panic(err)
	}
	return Item{Kind: kind, Body: b}
}

// FormatError reports that a record or a saved state has a format that this build does not support.
type FormatError struct {
	Format int
}

// Error implements the error interface.
func (e *FormatError) Error() string {
	return fmt.Sprintf("format %d is not supported by this build; run a build that supports it", e.Format)
}

// DecodeBatch decodes a batch from the data of a record. It returns a *FormatError for an unsupported format.
func DecodeBatch(data []byte) (Batch, error) {
	format, err := decodeFormat(data)
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

// decodeFormat decodes only the format number, so that a later format with further fields can be distinguished
// from a record that is not a batch.
func decodeFormat(data []byte) (int, error) {
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
