package node_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/ledger"
	"cranberryrail/fake/fleet"
	"cranberryrail/io/oper"
)

// TestRefusedTopUpNamesItsReason guards against tokens in a budget that no template lists, and against refusals that name another reason.
func TestRefusedTopUpNamesItsReason(t *testing.T) {
	f := start(t, &fleet.Fleet{Instances: 1, Engines: 1})
	provision(t, f, 1000)
	for name, c := range map[string]struct {
		topUp oper.TopUp
		want  codes.Code
	}{
		"budget that the template does not list": {oper.TopUp{ID: "a", Organisation: "acme", Budget: "mian", Tokens: 1}, codes.UnlistedBudget},
		"unknown organisation":                   {oper.TopUp{ID: "b", Organisation: "amce", Budget: "main", Tokens: 1}, codes.UnlistedBudget},
		"id that was used with another amount":   {oper.TopUp{ID: "top-up", Organisation: "acme", Budget: "main", Tokens: 1}, codes.TopUpReused},
		"more than the maximum":                  {oper.TopUp{ID: "c", Organisation: "acme", Budget: "main", Tokens: ledger.MaxPaid}, codes.BadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			_, err := f.Members[0].Oper.TopUp(c.topUp)
			assert.Equal(t, codes.From(err, codes.NotRun).Code, c.want)
		})
	}
}
