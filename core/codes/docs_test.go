package codes_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"cranberryrail/core/codes"
)

const codesPage = `# Result codes

What callers and operators receive in the ` + "`error`" + ` object of an answer. Numbers and names are stable across releases.
1xxx concern the request itself, 2xxx budgets, 3xxx targets and answers, 4xxx non-idempotent calls, 5xxx the instance
and the platform, 6xxx operators. The table is written by ` + "`go test ./core/codes -update`" + ` from the code, and a test holds
it to it.

| number | name | HTTP status | meaning |
| --- | --- | --- | --- |
`

func TestCodesPage(t *testing.T) {
	var b strings.Builder
	b.WriteString(codesPage)
	for _, c := range codes.All() {
		fmt.Fprintf(&b, "| %d | `%s` | %d | %s |\n", c.Number, c.Name, c.Status, c.Text)
	}
	golden.Assert(t, b.String(), "../../../docs/CODES.md")
}
