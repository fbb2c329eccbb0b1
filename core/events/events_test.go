package events_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cranberryrail/core/events"
)

func ExampleLog() {
	events.Log(zerolog.New(os.Stdout), events.Ready).Str("zone", "a").Send()
	// Output: {"level":"info","event":1003,"name":"ready","message":"The instance accepts requests.","zone":"a"}
}

func TestAllIsSortedAndUnique(t *testing.T) {
	last, names := 0, map[string]bool{}
	for _, e := range events.All() {
		assert.Assert(t, e.Number > last, "event %s is not in ascending order", e)
		assert.Assert(t, !names[e.Name], "event %s has the name of another event", e)
		last, names[e.Name] = e.Number, true
	}
}

func TestLogUsesTheLevelOfTheEvent(t *testing.T) {
	for _, e := range events.All() {
		var b bytes.Buffer
		events.Log(zerolog.New(&b), e).Send()
		assert.Assert(t, strings.HasPrefix(b.String(), fmt.Sprintf(`{"level":%q,"event":%d,`, e.Level, e.Number)), b.String())
	}
}

const eventsPage = `# Log events

Each line of the log carries the fields ` + "`event`" + ` (number) and ` + "`name`" + `. Numbers and names are stable across releases. 1xxx
concern the process, 2xxx the platform and its streams, 3xxx budgets, 4xxx non-idempotent calls, 5xxx targets and
responses, 6xxx operators and configuration, 7xxx other instances, 9xxx internal errors. The table is generated from the
code by ` + "`go test ./core/events -update`" + `, and a test compares the two.

| number | name | level | meaning |
| --- | --- | --- | --- |
`

func TestEventsPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(eventsPage)
	for _, e := range events.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %s | %s |\n", e.Number, e.Name, e.Level, e.Text)
	}
	golden.Assert(t, b.String(), "../../../docs/EVENTS.md")
}
