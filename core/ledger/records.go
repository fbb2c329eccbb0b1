// Package ledger accounts for prepaid budgets. The platform's log is authoritative: a fold over
// the ledger stream grants tokens to incarnations and subtracts charges from the
// granted tokens. An instance spends only tokens that the log has granted to its incarnation or
// that a holder has lent it out of its own grant, so no clock error, lease or stale view of the
// fleet can cause an overspend.
package ledger

// Kinds of items in the ledger stream.
const (
	KindTopUp  = "top_up"
	KindDraw   = "draw"
	KindCharge = "charge"
	KindReturn = "return"
	KindBye    = "bye"
)

// KnownKind reports whether this build folds items of a kind; items of other kinds are skipped.
func KnownKind(kind string) bool {
	switch kind {
	case KindTopUp, KindDraw, KindCharge, KindReturn, KindBye:
		return true
	}
	return false
}

// BudgetKey returns the key of a budget of an organisation.
func BudgetKey(organisation, name string) string { return organisation + "/" + name }

// TopUp adds paid tokens to a budget. A second top-up with the same ID adds nothing.
type TopUp struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Budget string
	Tokens int64
}

// Draw requests tokens for the writer. It is granted as far as the budget covers it, and refused when fewer
// than Least tokens are free.
type Draw struct {
	_      struct{} `cbor:",toarray"`
	Budget string
	Tokens int64
	Least  int64
}

// Part is a number of tokens held by an incarnation. In a record an empty holder stands for the writer, which
// saves most of the bytes of a charge.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Holder string
	Tokens int64
}

// Charge bills a request. The bill of a request is the highest of its charges; the tokens that a charge adds to
// the bill are taken from the parts in their order.
type Charge struct {
	_       struct{} `cbor:",toarray"`
	Budget  string
	Request string
	// Digest is a hash of the request's content, so that two requests which share an ID by mistake are billed
	// separately.
	Digest uint64
	Tokens int64
	From   []Part
}

// Return returns tokens of a holder to the budget; an empty holder stands for the writer.
type Return struct {
	_      struct{} `cbor:",toarray"`
	Budget string
	Holder string
	Tokens int64
}

// Bye is the last item of an incarnation; it is sent on a graceful shutdown.
type Bye struct {
	_ struct{} `cbor:",toarray"`
}
