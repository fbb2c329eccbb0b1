package rendez_test

import (
	"fmt"

	"github.com/cespare/xxhash/v2"

	"cranberryrail/core/rendez"
)

// The node with the highest score is responsible for a key.
func ExampleScore() {
	key, first := xxhash.Sum64String("key"), ""
	var highest uint64
	for _, node := range []string{"a", "b", "c"} {
		if score := rendez.Score(key, xxhash.Sum64String(node)); score >= highest {
			first, highest = node, score
		}
	}
	fmt.Println(first)
	// Output: c
}
