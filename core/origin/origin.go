// Package origin knows which software version of a service began a stream, so that the stream is resumed at that version only. What two versions
// write does not fit together, and targets don't check it.
//
// A stream is known by an origin record in the platform's log, which is durable before its first event is forwarded, or by the state of its
// service: while a service has one version, streams need no records. The state of a service is a record of its own:
//
//   - open: all streams without a record began at the version of the state, and none begins at another one.
//   - mixed: streams without a record began at the version of the state; all others are recorded.
//   - recorded: a stream without a record has an unknown origin and is not resumed. A stream may begin without one at versions that the state names.
//
// An open state becomes mixed when a second version is listed, and recorded once no stream without a record is left, or no target of the
// version of the state. It becomes open again when the state named the only listed version alone for the settling time. States are changed by conditional
// appends: an instance whose list lacks a version can't open a service that another one has begun to use at that version.
package origin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"cranberryrail/core/logs"
)

// Key identifies a stream by the organisation of its caller and the id of the caller's attempt that brought its first event. A stream of
// another organisation has another key.
type Key string

// keyBytes is the number of bytes of the digest that a key holds.
const keyBytes = 12

// NewKey returns the key of a stream. An empty id identifies no stream and has an empty key.
func NewKey(organisation, id string) Key {
	if id == "" {
		return ""
	}
	sum := sha256.Sum256([]byte(organisation + "\x00" + id))
	return Key(hex.EncodeToString(sum[:keyBytes]))
}

// Origin is the software version of a service that began a stream.
type Origin struct {
	Service string `json:"service"`
	Version string `json:"version"`
}

// Mode is how the streams of a service are known.
type Mode string

// Modes; see the package comment.
const (
	Open     Mode = "open"
	Mixed    Mode = "mixed"
	Recorded Mode = "recorded"
)

// State is the state of a service.
type State struct {
	Service string `json:"service"`
	Mode    Mode   `json:"mode"`
	// Version is the version of streams without a record; empty if Mode is Recorded.
	Version string `json:"version,omitempty"`
	// Versions are the versions at which streams may begin before they are recorded, in ascending order; empty unless Mode is Recorded.
	Versions []string `json:"versions,omitempty"`
	// Era is the era of the log in which the state was recorded. A state of an earlier era may not be the newest.
	Era int64 `json:"era,omitempty"`
}

// equal reports whether two states are the same.
func (s State) equal(other State) bool {
	same := s.Service == other.Service && s.Mode == other.Mode && s.Version == other.Version && s.Era == other.Era
	return same && slices.Equal(s.Versions, other.Versions)
}

var (
	// ErrUnknown reports that the version that began a stream is not known.
	ErrUnknown = errors.New("the software version that began the stream is not known; start the request anew")
	// ErrNotRecorded reports that the origin of a stream could not be recorded.
	ErrNotRecorded = errors.New("the software version of the stream could not be recorded in the log")
	errState       = fmt.Errorf("unknown mode; allowed: open, mixed, recorded; the first two with a version of at most %d bytes", maxNameBytes)
)

// record is the value of an origin record.
type record struct {
	Origin
	// AtMS is when the record was written, in Unix milliseconds, by the clock of the writer.
	AtMS int64 `json:"at_ms"`
}

// recordKey returns the key of the record of an attempt at a stream. Each attempt has a record of its own, of which the last one counts,
// since an append that was not answered may be applied late.
func recordKey(key Key, attempt int) string { return string(key) + "." + strconv.Itoa(attempt) }

// parseRecordKey is the inverse of recordKey.
func parseRecordKey(text string) (Key, int, error) {
	key, number, _ := strings.Cut(text, ".")
	attempt, err := strconv.Atoi(number)
	if err != nil {
		return "", 0, fmt.Errorf("parse key of origin record %q: %w", text, err)
	}
	digest, err := hex.DecodeString(key)
	if err != nil || len(digest) != keyBytes || attempt < 0 || attempt > maxAttempts || recordKey(Key(key), attempt) != text {
		return "", 0, fmt.Errorf("parse key of origin record %q: %w", text, errKey)
	}
	return Key(key), attempt, nil
}

// Bounds of what a record holds. maxAttempts is far above the attempts of one request, and maxNameBytes the longest name in the list of targets.
const (
	maxAttempts  = 1 << 16
	maxNameBytes = 255
)

var (
	errKey    = errors.New("the key is not that of a stream and an attempt")
	errRecord = fmt.Errorf("the origin record of a stream is not valid JSON with a version, or a name has more than %d bytes", maxNameBytes)
)

// parseRecord decodes an origin record.
func parseRecord(data []byte) (record, error) {
	var r record
	if err := json.Unmarshal(data, &r); err != nil || r.Version == "" || max(len(r.Service), len(r.Version)) > maxNameBytes {
		return record{}, errors.Join(errRecord, err)
	}
	return r, nil
}

// parseState decodes the record of a state.
func parseState(r logs.Record) (State, error) {
	var s State
	if err := json.Unmarshal(r.Value, &s); err != nil {
		return State{}, fmt.Errorf("parse state of service %q: %w", r.Key, err)
	}
	valid := s.Mode == Recorded || (s.Mode == Open || s.Mode == Mixed) && s.Version != ""
	if !valid || len(s.Version) > maxNameBytes {
		return State{}, fmt.Errorf("parse state of service %q: %w", r.Key, errState)
	}
	s.Service = r.Key
	return s, nil
}

func mustEncode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("encode record: %v", err)) // the types can always be encoded
	}
	return data
}
