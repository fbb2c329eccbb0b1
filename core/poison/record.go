package poison

import (
	"encoding/json"
	"fmt"

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
