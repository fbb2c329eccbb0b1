package conf_test

import (
	"fmt"

	"cranberryrail/core/conf"
	"cranberryrail/core/tail"
)

// Of two changes that are based on the same version, the one that is first in the log is accepted.
func ExampleFold() {
	var fold conf.Fold
	publish := func(offset int64, id, body string) {
		p := conf.PublishRequest{ID: id, Organisation: "travel", BasedOn: 0, Body: []byte(body)}
		outcomes, err := fold.Apply(offset, "incarnation-1", []tail.Item{p.Item()})
		if err != nil {
			fmt.Println(err)
			return
		}
		fmt.Println(id, "accepted:", outcomes[0].Accepted(), "code:", outcomes[0].Code, "version:", outcomes[0].Version)
	}
	publish(0, "alice", "organisation = \"travel\"\npriority = 7\n")
	publish(1, "bob", "organisation = \"travel\"\npriority = 2\n")
	publish(2, "alice", "organisation = \"travel\"\npriority = 7\n")

	travel, _ := fold.Organisation("travel")
	fmt.Println("priority", travel.Template.Priority, "budgets", travel.Template.Budgets)
	// Output:
	// alice accepted: true code: 0 version: 1
	// bob accepted: false code: 6001 version: 1
	// alice accepted: true code: 0 version: 1
	// priority 7 budgets [{main}]
}

// Parse reports the path of each fault and the allowed values.
func ExampleParse() {
	_, err := conf.Parse([]byte("organisation = \"travel\"\npriority = 12\n"))
	fmt.Println(err)
	// Output: template is invalid; correct these faults and retry: priority: 12 is not allowed; allowed: 0..9
}
