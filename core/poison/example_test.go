package poison_test

import (
	"context"
	"fmt"

	"cranberryrail/core/poison"
)

// Each attempt is admitted before it is sent, and reports how it ended.
func ExampleTracker() {
	t := &poison.Tracker{}
	t.Default()
	for n := range 4 {
		traits := poison.Traits{
			Parts: []poison.Trait{poison.PartTrait("draft", "5c1e07a2")}, Labels: []string{"5c1e07a2"},
			Request: poison.RequestTrait([]byte(fmt.Sprint("prompt ", n)), "/draft"),
		}
		pass, err := t.Admit(context.Background(), traits)
		if err != nil {
			fmt.Println(err)
			continue
		}
		pass.Crashed(fmt.Sprint("engine ", n), false)
	}
	// Output: 3 targets have crashed under requests with part "5c1e07a2" in their prompts
}
