// Package ledger keeps prepaid budgets. The platform's log decides: a fold over the
// ledger stream grants tokens to incarnations and takes charges from what was
// granted. An instance spends only what the log has granted to its incarnation or
// what a holder lent it out of its own grant, so no clock, lease or view of the
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

// KnownKind reports whether this build folds items of a kind; others are skipped.
func KnownKind(kind string) bool {
	switch kind {
	case KindTopUp, KindDraw, KindCharge, KindReturn, KindBye:
		return true
	}
	return false
}

// BudgetKey returns the key of a budget of an organisation.
func BudgetKey(organisation, name string) string { return organisation + "/" + name }

// TopUp adds paid tokens to a budget. A second top-up with the same id adds nothing.
type TopUp struct {
	_      struct{} `cbor:",toarray"`
	ID     string
	Budget string
	Tokens int64
}

// Draw asks for tokens for the writer. It is granted as far as the budget covers it,
// and not at all when that is fewer than Least.
type Draw struct {
	_      struct{} `cbor:",toarray"`
	Budget string
	Tokens int64
	Least  int64
}

// Part names tokens that are held by an incarnation. In a record an empty holder is the
// writer, which saves most of the bytes of a charge.
type Part struct {
	_      struct{} `cbor:",toarray"`
	Holder string
	Tokens int64
}

// Charge bills a request. The bill of a request is the highest of its charges; what
// a charge adds to it is taken from the parts in their order.
type Charge struct {
	_       struct{} `cbor:",toarray"`
	Budget  string
	Request string
	// Digest is a hash of the request's content, so that two requests which share an id by
	// mistake are billed apart.
	Digest uint64
	Tokens int64
	From   []Part
}

// Return gives tokens of a holder back to the budget; an empty holder is the writer.
type Return struct {
	_      struct{} `cbor:",toarray"`
	Budget string
	Holder string
	Tokens int64
}

// Bye is the last item of an incarnation that stops as planned.
type Bye struct {
	_ struct{} `cbor:",toarray"`
}
