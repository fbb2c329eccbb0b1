package trade

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/simul"
	"cranberryrail/fake/storm"
)

// Sizes and times of a run.
const (
	defaultInstances = 8
	defaultRate      = 20
	organisations    = 10
	// lowOrg is the organisation that has little left in LowBudget.
	lowOrg = 2
	// lowInstances take all requests of lowOrg while the log is down in LowBudget.
	lowInstances = 3
	warmUp       = time.Minute
	faultFrom    = 10 * time.Minute
	faultFor     = 10 * time.Minute
	killEvery    = time.Minute
	rebirth      = time.Second
	// ordinaryAppend and slowAppend are times of an append.
	ordinaryAppend = 6 * time.Millisecond
	slowAppend     = 2 * time.Second
	// meanTokens is the mean use of a request.
	meanTokens = 500
)

// market is one run.
type market struct {
	t        *Table
	c        Case
	scenario Scenario
	sched    *simul.Sched
	load     *rand.Rand
	log      *simul.Log
	nodes    []*storm.Node
	births   int
	parted   bool
	weights  []float64
	fold     *ledger.Fold
	gate     *tail.Gate
	used     map[string]int64
	reserved map[string]int64
	open     map[*storm.Node][]*order
	waits    []time.Duration
	figures  Figures
	err      error
}

// order is one request.
type order struct {
	need    ledger.Need
	org     int
	used    float64
	takes   time.Duration
	node    int
	granted bool
	grant   ledger.Grant
	ended   bool
	most    int64
}

func newMarket(t *Table, c Case, s Scenario) *market {
	m := &market{
		t: t, c: c, scenario: s, sched: simul.NewSched(), load: rand.New(rand.NewPCG(t.Seed, 2)),
		fold: ledger.New(), gate: tail.NewGate(), used: map[string]int64{}, reserved: map[string]int64{},
		open: map[*storm.Node][]*order{}, figures: Figures{Case: c.Name, Scenario: s},
	}
	var sum float64
	for i := range organisations {
		m.weights = append(m.weights, 1/float64(i+1))
		sum += m.weights[i]
	}
	for i := range m.weights {
		m.weights[i] /= sum
	}
	m.log = &simul.Log{Sched: m.sched, Rand: rand.New(rand.NewPCG(t.Seed, 3)), Appended: m.appended,
		Delay: func() time.Duration { return ordinaryAppend }}
	m.nodes = make([]*storm.Node, t.Instances)
	return m
}

func budgetOf(i int) string { return ledger.BudgetKey(fmt.Sprintf("org%d", i), "main") }

// usual returns the usual use of an organisation in a time, in tokens.
func (m *market) usual(org int, d time.Duration) int64 {
	return int64(m.weights[org] * m.t.Rate * meanTokens * d.Seconds())
}

func (m *market) run(ctx context.Context) (Figures, error) {
	m.openBudgets()
	for i := range m.nodes {
		m.birth(i)
	}
	m.sched.After(time.Second, m.arrive)
	m.plan()
	end := m.sched.Now().Add(m.t.Length)
	for steps := 0; m.err == nil && m.sched.Now().Before(end); steps++ {
		if steps%4096 == 0 && ctx.Err() != nil {
			return Figures{}, ctx.Err()
		}
		m.sched.Step()
	}
	m.finish()
	return m.figures, m.err
}

// openBudgets writes the top-ups, and the earlier use of the organisation that has
// little left.
func (m *market) openBudgets() {
	var items []tail.Item
	for i := range organisations {
		paid := 3 * m.usual(i, m.t.Length) / 2
		budget := budgetOf(i)
		switch {
		case m.scenario == Exhausted:
			paid = 9 * m.usual(i, m.t.Length) / 10
		case m.scenario == LowBudget && i == lowOrg:
			// A tenth is what the organisation uses in 25 minutes: 10 before the outage, 10 within it,
			// and a quarter to spare.
			left := m.usual(i, faultFrom+3*faultFor/2)
			paid = 10 * left
		}
		items = append(items, tail.NewItem(ledger.KindTopUp, ledger.TopUp{ID: "first", Budget: budget, Tokens: paid}))
		if m.scenario == LowBudget && i == lowOrg {
			spent := paid - paid/10
			items = append(items, tail.NewItem(ledger.KindDraw, ledger.Draw{Budget: budget, Tokens: spent, Least: spent}),
				tail.NewItem(ledger.KindCharge, ledger.Charge{Budget: budget, Request: "earlier", Tokens: spent, From: []ledger.Part{{Holder: "earlier", Tokens: spent}}}))
			m.used[budget] = spent
		}
	}
	data, err := tail.Encode(tail.Batch{Format: tail.BatchFormat, Inc: "earlier", Seq: 1, Items: items})
	if err != nil {
		m.err = err
		return
	}
	m.log.Append(data, func(error) {})
}

// plan schedules the faults.
func (m *market) plan() {
	during := func(begin, end func()) {
		m.sched.After(faultFrom, begin)
		m.sched.After(faultFrom+faultFor, end)
	}
	switch m.scenario {
	case LogDown, LowBudget:
		during(func() { m.log.Down = true }, func() { m.log.Down = false })
	case LogSlow:
		during(func() { m.log.Delay = func() time.Duration { return slowAppend } },
			func() { m.log.Delay = func() time.Duration { return ordinaryAppend } })
	case Kills:
		m.sched.After(killEvery, func() { m.kill(0) })
	case Parted:
		during(func() { m.part(true) }, func() { m.part(false) })
		m.sched.After(faultFrom+faultFor/2, m.topUpAll)
	}
}

func (m *market) part(parted bool) {
	m.parted = parted
	for _, n := range m.nodes {
		n.Cut = parted
	}
}

// topUpAll tops up all budgets past the instances.
func (m *market) topUpAll() {
	items := make([]tail.Item, 0, organisations)
	for i := range organisations {
		items = append(items, tail.NewItem(ledger.KindTopUp, ledger.TopUp{ID: "second", Budget: budgetOf(i), Tokens: m.usual(i, faultFor)}))
	}
	data, err := tail.Encode(tail.Batch{Format: tail.BatchFormat, Inc: "earlier", Seq: 2, Items: items})
	if err != nil {
		m.err = err
		return
	}
	m.log.Append(data, func(error) {})
}

// kill ends one instance after the other.
func (m *market) kill(place int) {
	m.sched.After(killEvery, func() { m.kill((place + 3) % m.t.Instances) })
	n := m.nodes[place]
	n.Kill()
	for _, o := range m.open[n] {
		if !o.ended {
			m.reserved[o.need.Budget] -= o.grant.Covers()
			m.use(o, int64(o.used*float64(o.grant.Covers())/2))
		}
		again := *o
		again.granted, again.ended, again.node = false, false, (o.node+1)%m.t.Instances
		m.sched.After(rebirth, func() { m.send(&again, m.sched.Now()) })
	}
	delete(m.open, n)
	m.sched.After(rebirth, func() { m.birth(place) })
}

func (m *market) birth(place int) {
	m.births++
	n := &storm.Node{
		Node: simul.Node{Sched: m.sched, Log: m.log, Inc: fmt.Sprintf("i%d.%03d", place, m.births), Linger: 5 * time.Millisecond},
		Book: &ledger.Book{Policy: func(string) ledger.Policy { return m.c.Policy }, Instances: func() int { return m.t.Instances }, Live: m.live},
	}
	if m.c.Lending {
		n.Ask = m.ask
	}
	m.nodes[place] = n
	n.Start()
	m.keep(n)
}

// live reports whether an incarnation runs.
func (m *market) live(inc string) bool {
	return slices.ContainsFunc(m.nodes, func(n *storm.Node) bool { return n.Inc == inc && !n.Gone() })
}

// keep holds allowances of all budgets ready, once they are known.
func (m *market) keep(n *storm.Node) {
	m.sched.After(simul.TickEvery, func() {
		n.Do(func() {
			for i := range organisations {
				n.Book.Keep(budgetOf(i))
			}
		})
		if !n.Gone() {
			m.keep(n)
		}
	})
}

// ask carries a request for a loan to a peer.
func (m *market) ask(holder string, l ledger.Loan, done func(tokens int64)) {
	m.sched.After(storm.PeerDelay, func() {
		for _, n := range m.nodes {
			if n.Inc == holder && !n.Gone() && !m.parted {
				tokens := n.Book.Lend(l.Budget, l.Tokens, l.Least)
				m.sched.After(storm.PeerDelay, func() { done(tokens) })
				return
			}
		}
		m.sched.After(storm.PeerDelay, func() { done(0) })
	})
}

// arrive makes a request and the next arrival. All that is random in it is drawn here, so
// that the load is the same for each policy.
func (m *market) arrive() {
	gap := time.Duration(m.load.ExpFloat64() / m.t.Rate * float64(time.Second))
	m.sched.After(gap, m.arrive)
	pick := m.load.Float64()
	org := 0
	for org < organisations-1 && pick >= m.weights[org] {
		pick -= m.weights[org]
		org++
	}
	// A request uses between none and all of its reservation, two fifths on average.
	tokens := 250 + m.load.Int64N(2*meanTokens*5/2-500)
	least := tokens
	if m.load.IntN(2) == 0 {
		least = tokens / 4
	}
	o := &order{org: org, used: math.Pow(m.load.Float64(), 1.5), takes: time.Duration(m.load.Int64N(int64(8 * time.Second))),
		node: m.load.IntN(m.t.Instances)}
	m.figures.Requests++
	o.need = ledger.Need{Budget: budgetOf(org), Request: fmt.Sprint("q", m.figures.Requests), Tokens: tokens, Least: least}
	if m.scenario == LowBudget && org == lowOrg && m.log.Down {
		o.node %= lowInstances
	}
	m.send(o, m.sched.Now())
}

// counts reports whether a request is part of the figures; in LowBudget these are the
// requests of one organisation while the log is down.
func (m *market) counts(o *order) bool {
	if m.scenario == LowBudget {
		return m.log.Down && o.org == lowOrg
	}
	return m.sched.Now().Sub(simul.NewSched().Now()) > warmUp
}

func (m *market) send(o *order, since time.Time) {
	n := m.nodes[o.node]
	if n.Gone() {
		o.node = (o.node + 1) % m.t.Instances
		n = m.nodes[o.node]
	}
	n.Do(func() {
		n.Reserve(o.need, func(a ledger.Answer) {
			if a.Refused != nil {
				m.refused(o)
				return
			}
			m.granted(o, n, a.Grant, m.sched.Now().Sub(since))
		})
	})
}

func (m *market) refused(o *order) {
	if !m.counts(o) {
		return
	}
	m.figures.Refused++
	b := m.fold.Budgets[o.need.Budget]
	if b != nil && b.Paid-m.used[o.need.Budget]-m.reserved[o.need.Budget] >= o.need.Least {
		m.figures.False++
	}
}

func (m *market) granted(o *order, n *storm.Node, g ledger.Grant, waited time.Duration) {
	o.granted, o.grant = true, g
	m.reserved[o.need.Budget] += g.Covers()
	m.open[n] = append(m.open[n], o)
	if m.counts(o) {
		m.figures.Granted++
		m.waits = append(m.waits, waited)
	}
	m.sched.After(o.takes, func() {
		n.Do(func() { m.settle(o, n) })
	})
}

func (m *market) settle(o *order, n *storm.Node) {
	o.ended = true
	m.reserved[o.need.Budget] -= o.grant.Covers()
	used := int64(o.used * float64(o.grant.Covers()))
	m.use(o, used)
	if i := slices.Index(m.open[n], o); i >= 0 {
		m.open[n] = slices.Delete(m.open[n], i, i+1)
	}
	n.Book.Settle(o.grant.ID, used)
}

// use counts what a request really used, the most of its attempts.
func (m *market) use(o *order, used int64) {
	if used <= o.most {
		return
	}
	budget := o.need.Budget
	m.used[budget] += used - o.most
	o.most = used
	m.figures.Overspend = max(m.figures.Overspend, m.used[budget]-m.fold.Budgets[budget].Paid)
}

// appended folds each record when it is written.
func (m *market) appended(e tail.Entry) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil || !m.gate.Admit(e.Offset, b) {
		m.err = err
		return
	}
	if _, err := m.fold.Apply(b.Inc, b.Items); err != nil {
		m.err = err
	}
	if m.fold.Violations > 0 && m.err == nil {
		m.err = m.fold.Check()
		m.figures.Overspend = max(m.figures.Overspend, 1)
	}
}

func (m *market) finish() {
	living := map[string]bool{}
	for _, n := range m.nodes {
		living[n.Inc] = !n.Gone()
	}
	var paid, stranded int64
	for i := range organisations {
		b := m.fold.Budgets[budgetOf(i)]
		if m.scenario == LowBudget && i != lowOrg {
			continue
		}
		paid += b.Paid
		for _, h := range b.Holdings {
			if !living[h.Inc] {
				stranded += h.Tokens
			}
		}
	}
	f := &m.figures
	f.StrandedShare = share(stranded, paid)
	seconds := m.t.Length.Seconds()
	f.AppendRate = float64(m.log.Appends) / seconds
	f.ByteRate = float64(m.log.Bytes) * (1 + 1/float64(m.t.Instances)) / seconds
	f.Requests = f.Granted + f.Refused
	slices.Sort(m.waits)
	if n := len(m.waits); n > 0 {
		f.P50, f.P99 = m.waits[n/2], m.waits[n*99/100]
	}
}
