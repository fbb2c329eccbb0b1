package poison

import (
	"encoding/json"
	"fmt"
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

// fold applies a record of the topic. Records of one key may come again, and a Reset delivers the newest ones in any
// order.
func (t *Tracker) fold(r logs.Record) error {
	trait, target, isCrash := strings.Cut(r.Key, keySeparator)
	if len(r.Value) == 0 {
		t.forget(Trait(trait), target, isCrash)
		return nil
	}
	if isCrash {
		var c crashRecord
		if err := json.Unmarshal(r.Value, &c); err != nil {
			return err
		}
		t.addCrash(Trait(trait), target, c)
		return nil
	}
	var state stateRecord
	if err := json.Unmarshal(r.Value, &state); err != nil {
		return err
	}
	t.applyState(Trait(trait), state)
	return nil
}
