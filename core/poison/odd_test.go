package poison_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/logs"
	"cranberryrail/core/poison"
)

// TestOddCrashRecords guards against a record of another writer that ends the quarantine of a trait for good, or its probes, and against labels and
// keys that cost memory without bound.
func TestOddCrashRecords(t *testing.T) {
	const last = "9223372036854775807"
	trait := poison.PartTrait("m", "a")
	for name, odd := range map[string]string{
		"last epoch": `{"epoch":` + last + `}`, "negative epoch": `{"epoch":-1}`, "last probe": `{"probe":` + last + `}`, "unsent": `{"probe":1,"unsent":` + last + `}`,
		"negative probe": `{"probe":-1}`, "negative": `{"unsent":-1}`, "no object": `7`,
	} {
		t.Run(name, func(t *testing.T) {
			invalid := 0
			tracker := &poison.Tracker{Incarnation: "i", OnInvalid: func(string, error) { invalid++ }}
			tracker.Default()
			tracker.Apply([]logs.Record{{Key: string(trait), Value: []byte(odd)}, {Key: string(trait) + "/1", Value: []byte(`{"series":` + last + `}`)}, {Key: string(trait) + "/2", Value: []byte(`{"series":-1}`)}})
			assert.Equal(t, invalid, 3)
			assert.NilError(t, tracker.Check(poison.Traits{Parts: []poison.Trait{trait}}))
			tracker.Apply([]logs.Record{{Key: string(trait) + "/3", Value: []byte(`{"series":3,"label":"` + strings.Repeat("x", 1000) + `"}`)}})
			assert.Assert(t, tracker.Check(poison.Traits{Parts: []poison.Trait{trait}}) != nil)
			assert.Equal(t, len(tracker.Quarantines()[0].Part), 64)
		})
	}
	tracker := &poison.Tracker{Incarnation: "i"}
	tracker.Default()
	for n := range 10_000 {
		for _, key := range []string{"", "/", "x", "pz", "p" + strings.Repeat("1", 17), "p1/", "p1/z", fmt.Sprintf("junk%d/1", n), fmt.Sprintf("%s/%x", trait, n)} {
			tracker.Apply([]logs.Record{{Key: key, Value: []byte(`{"series":1}`)}})
		}
	}
	assert.Assert(t, len(tracker.Records()) <= 300, "%d records", len(tracker.Records()))
}
