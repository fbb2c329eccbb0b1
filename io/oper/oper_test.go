package oper

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/ledger"
)

// TestInternalErrorsAreReported guards against a reply that refers to the log of the instance, which has no line about it. Refusals have their own reasons.
func TestInternalErrorsAreReported(t *testing.T) {
	errActor := errors.New("the actor did not respond")
	for name, c := range map[string]struct{ err, want error }{
		"internal": {errActor, errActor}, "a refusal": {codes.Refuse(codes.NotReady, 0, "starting"), nil}, "none": {},
	} {
		t.Run(name, func(t *testing.T) {
			var reported error
			s := &Server{OnInternal: func(_ string, err error) { reported = err }, Balances: func() ([]ledger.Balance, error) { return nil, c.err }}
			s.Default()
			s.handle(func(*http.Request) (any, error) { return s.Balances() })(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/v1/budgets", nil))
			assert.Assert(t, (reported == nil) == (c.want == nil) && errors.Is(reported, c.want), "%v", reported)
		})
	}
}
