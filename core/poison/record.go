package poison

import (
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"strings"

	"cranberryrail/core/logs"
)

// Records of the topic. The key of a trait holds its stateRecord, and that of a trait and the hash of an incarnation, separated by
// keySeparator, a crashRecord.
const keySeparator = "/"

// stateRecord begins an epoch, or claims a probe.
type stateRecord struct {
	Epoch int64 `json:"epoch"`
	Probe int64 `json:"probe,omitempty"`
	// Unsent is the number of probes that reached no target.
	Unsent int64 `json:"unsent,omitempty"`
	// By is the incarnation of the instance that claims a probe.
	By string `json:"by,omitempty"`
}

// crashRecord reports a crash.
type crashRecord struct {
	Epoch  int64  `json:"epoch"`
	Series int    `json:"series"`
	Label  string `json:"label,omitempty"`
}

func encode(key string, value any) logs.Record {
	data, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("encode record: %v", err)) // the types can always be encoded
	}
	return logs.Record{Key: key, Value: data}
}

// crashKey returns the key of a crash, given the hash of the target's incarnation.
func crashKey(t Trait, target string) string { return string(t) + keySeparator + target }

// Bounds of the numbers of a record. A number near the largest one would hide all later ones, and overflow when it is counted on.
const (
	maxCount  = 1 << 53
	maxSeries = 1 << 20
	// maxCrashes bounds the targets of one trait that are remembered: several times the crashes after which it is quarantined for good.
	maxCrashes = 256
)

var (
	errKey    = errors.New("the key is not that of a trait, or of a trait and a target")
	errNumber = fmt.Errorf("a number is out of range; allowed: 0 to %d, series from 1 to %d", int64(maxCount), maxSeries)
)

// parseKey returns the trait of a key and the hash of the target's incarnation, if the key is that of a crash.
func parseKey(key string) (trait Trait, target string, isCrash bool, err error) {
	text, target, isCrash := strings.Cut(key, keySeparator)
	if text == "" || !strings.ContainsRune(string([]byte{partKind, requestKind, callerKind}), rune(text[0])) || !isHash(text[1:]) || isCrash && !isHash(target) {
		return "", "", false, errKey
	}
	return Trait(text), target, isCrash, nil
}

// isHash reports whether a text is a hash as newTrait writes it.
func isHash(text string) bool {
	n, err := strconv.ParseUint(text, hashBase, 64)
	return err == nil && strconv.FormatUint(n, hashBase) == text
}

// decodeCrash decodes the report of a crash.
func decodeCrash(value []byte) (crashRecord, error) {
	var c crashRecord
	if err := json.Unmarshal(value, &c); err != nil {
		return crashRecord{}, err
	}
	if c.Epoch < 0 || c.Epoch > maxCount || c.Series < 1 || c.Series > maxSeries {
		return crashRecord{}, errNumber
	}
	c.Label = strings.Clone(c.Label[:min(len(c.Label), maxLabelBytes)]) // the whole may be long
	return c, nil
}

// decodeState decodes the begin of an epoch, or the claim of a probe.
func decodeState(value []byte) (stateRecord, error) {
	var s stateRecord
	if err := json.Unmarshal(value, &s); err != nil {
		return stateRecord{}, err
	}
	if min(s.Epoch, s.Probe, s.Unsent) < 0 || max(s.Epoch, s.Probe, s.Unsent) > maxCount || s.Unsent > s.Probe {
		return stateRecord{}, errNumber
	}
	return s, nil
}
