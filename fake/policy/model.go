package policy

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/fake/ledsim"
	"cranberryrail/fake/simul"
)

// Sizes and times of a simulation.
const (
	defaultInstances = 8
	defaultRate      = 20
	organisations    = 10
	// lowBudgetOrg is the organisation whose budget is nearly used up in LowBudget.
	lowBudgetOrg = 2
	// lowBudgetInstances is the number of instances that receive all requests of lowBudgetOrg while the log is down in
	// LowBudget.
	lowBudgetInstances = 3
	warmUp             = time.Minute
	faultStart         = 10 * time.Minute
	faultDuration      = 10 * time.Minute
	killInterval       = time.Minute
	restartDelay       = time.Second
	// normalAppendDelay and slowAppendDelay are the times that an append takes.
	normalAppendDelay = 6 * time.Millisecond
	slowAppendDelay   = 2 * time.Second
	// meanTokens is the mean number of tokens that a request uses.
	meanTokens = 500
)

// model is the simulation of one case in one scenario.
type model struct {
	comparison  *Comparison
	policyCase  Case
	scenario    Scenario
	scheduler   *simul.Scheduler
	loadRand    *rand.Rand
	log         *simul.Log
	nodes       []*ledsim.Node
	starts      int
	partitioned bool
	weights     []float64
	fold        *ledger.Fold
	dedup       *tail.Deduplicator
	used        map[string]int64
	reserved    map[string]int64
	inFlight    map[*ledsim.Node][]*request
	waitTimes   []time.Duration
	result      Result
	err         error
}

// request is one attempt at a request. A retry is a copy of it.
type request struct {
	request     ledger.ReserveRequest
	org         int
	usedRatio   float64
	duration    time.Duration
	nodeIndex   int
	granted     bool
	reservation ledger.Reservation
	ended       bool
	maxUsed     int64
}

func newModel(comparison *Comparison, policyCase Case, s Scenario) *model {
	m := &model{
		comparison: comparison, policyCase: policyCase, scenario: s, scheduler: simul.NewScheduler(),
		loadRand: rand.New(rand.NewPCG(comparison.Seed, 2)),
		fold:     ledger.New(), dedup: tail.NewDeduplicator(), used: map[string]int64{}, reserved: map[string]int64{},
		inFlight: map[*ledsim.Node][]*request{}, result: Result{Case: policyCase.Name, Scenario: s},
	}
	var sum float64
	for i := range organisations {
		m.weights = append(m.weights, 1/float64(i+1))
		sum += m.weights[i]
	}
	for i := range m.weights {
		m.weights[i] /= sum
	}
	m.log = &simul.Log{Scheduler: m.scheduler, Rand: rand.New(rand.NewPCG(comparison.Seed, 3)), OnAppend: m.onAppended,
		Delay: func() time.Duration { return normalAppendDelay }}
	m.nodes = make([]*ledsim.Node, comparison.Instances)
	return m
}

func budgetKey(i int) string { return ledger.BudgetKey(fmt.Sprintf("org%d", i), "main") }

// expectedUse returns the tokens that an organisation is expected to use in time d.
func (m *model) expectedUse(org int, d time.Duration) int64 {
	return int64(m.weights[org] * m.comparison.Rate * meanTokens * d.Seconds())
}

func (m *model) run(ctx context.Context) (Result, error) {
	m.createBudgets()
	for i := range m.nodes {
		m.startInstance(i)
	}
	m.scheduler.After(time.Second, m.generateRequest)
	m.scheduleFaults()
	end := m.scheduler.Now().Add(m.comparison.Duration)
	for steps := 0; m.err == nil && m.scheduler.Now().Before(end); steps++ {
		if steps%4096 == 0 && ctx.Err() != nil {
			return Result{}, ctx.Err()
		}
		m.scheduler.Step()
	}
	m.computeResult()
	return m.result, m.err
}

// createBudgets appends the top-ups of all budgets and, in LowBudget, the earlier use of the nearly empty budget.
func (m *model) createBudgets() {
	var items []tail.Item
	for i := range organisations {
		paid := 3 * m.expectedUse(i, m.comparison.Duration) / 2
		budget := budgetKey(i)
		switch {
		case m.scenario == Exhausted:
			paid = 9 * m.expectedUse(i, m.comparison.Duration) / 10
		case m.scenario == LowBudget && i == lowBudgetOrg:
			// The remaining tenth covers 25 minutes of expected use: 10 minutes before the outage, 10 during the outage
			// and a quarter in reserve.
			left := m.expectedUse(i, faultStart+3*faultDuration/2)
			paid = 10 * left
		}
		items = append(items, tail.NewItem(ledger.KindTopUp, ledger.TopUp{ID: "first", Budget: budget, Tokens: paid}))
		if m.scenario == LowBudget && i == lowBudgetOrg {
			charged := paid - paid/10
			items = append(items, tail.NewItem(ledger.KindDraw, ledger.Draw{Budget: budget, Tokens: charged, Least: charged}),
				tail.NewItem(ledger.KindCharge, ledger.Charge{Budget: budget, Request: "earlier", Tokens: charged, From: []ledger.Part{{Holder: "earlier", Tokens: charged}}}))
			m.used[budget] = charged
		}
	}
	data, err := tail.Encode(tail.Batch{Format: tail.BatchFormat, Incarnation: "earlier", Seq: 1, Items: items})
	if err != nil {
		m.err = err
		return
	}
	m.log.Append(data, func(error) {})
}

// scheduleFaults schedules the faults of the scenario.
func (m *model) scheduleFaults() {
	duringFault := func(begin, end func()) {
		m.scheduler.After(faultStart, begin)
		m.scheduler.After(faultStart+faultDuration, end)
	}
	switch m.scenario {
	case LogDown, LowBudget:
		duringFault(func() { m.log.Down = true }, func() { m.log.Down = false })
	case LogSlow:
		duringFault(func() { m.log.Delay = func() time.Duration { return slowAppendDelay } },
			func() { m.log.Delay = func() time.Duration { return normalAppendDelay } })
	case Kills:
		m.scheduler.After(killInterval, func() { m.kill(0) })
	case Partitioned:
		duringFault(func() { m.setPartitioned(true) }, func() { m.setPartitioned(false) })
		m.scheduler.After(faultStart+faultDuration/2, m.topUpAll)
	}
}

func (m *model) setPartitioned(partitioned bool) {
	m.partitioned = partitioned
	for _, n := range m.nodes {
		n.LogUnreachable = partitioned
	}
}

// topUpAll tops up all budgets directly in the log, without going through an instance.
func (m *model) topUpAll() {
	items := make([]tail.Item, 0, organisations)
	for i := range organisations {
		items = append(items, tail.NewItem(ledger.KindTopUp, ledger.TopUp{
			ID: "second", Budget: budgetKey(i), Tokens: m.expectedUse(i, faultDuration),
		}))
	}
	data, err := tail.Encode(tail.Batch{Format: tail.BatchFormat, Incarnation: "earlier", Seq: 2, Items: items})
	if err != nil {
		m.err = err
		return
	}
	m.log.Append(data, func(error) {})
}

// kill kills an instance, retries its open requests on the next one, restarts it and schedules the next kill.
func (m *model) kill(index int) {
	m.scheduler.After(killInterval, func() { m.kill((index + 3) % m.comparison.Instances) })
	node := m.nodes[index]
	node.Kill()
	for _, r := range m.inFlight[node] {
		if !r.ended {
			m.reserved[r.request.Budget] -= r.reservation.CoveredTokens()
			m.recordUse(r, int64(r.usedRatio*float64(r.reservation.CoveredTokens())/2))
		}
		retry := *r
		retry.granted, retry.ended, retry.nodeIndex = false, false, (r.nodeIndex+1)%m.comparison.Instances
		m.scheduler.After(restartDelay, func() { m.send(&retry, m.scheduler.Now()) })
	}
	delete(m.inFlight, node)
	m.scheduler.After(restartDelay, func() { m.startInstance(index) })
}

func (m *model) startInstance(index int) {
	m.starts++
	n := &ledsim.Node{
		Node: simul.Node{
			Scheduler: m.scheduler, Log: m.log, Incarnation: fmt.Sprintf("i%d.%03d", index, m.starts), Linger: 5 * time.Millisecond,
		},
		Book: &ledger.Book{
			Policy:    func(string) ledger.Policy { return m.policyCase.Policy },
			Instances: func() int { return m.comparison.Instances }, Live: m.isLive,
		},
	}
	if m.policyCase.Lending {
		n.RequestLoan = m.requestLoan
	}
	m.nodes[index] = n
	n.Start()
	m.maintainAllowances(n)
}

// isLive reports whether an incarnation is running.
func (m *model) isLive(inc string) bool {
	return slices.ContainsFunc(m.nodes, func(n *ledsim.Node) bool { return n.Incarnation == inc && !n.Ended() })
}

// maintainAllowances keeps an allowance of every known budget ready at the instance.
func (m *model) maintainAllowances(n *ledsim.Node) {
	m.scheduler.After(simul.TickEvery, func() {
		n.Do(func() {
			for i := range organisations {
				n.Book.OpenAccount(budgetKey(i))
			}
		})
		if !n.Ended() {
			m.maintainAllowances(n)
		}
	})
}

// requestLoan sends a loan request to the peer that holds the tokens. It calls done with the number of tokens lent,
// which is 0 if the peer has stopped or is unreachable.
func (m *model) requestLoan(holder string, l ledger.LoanRequest, done func(tokens int64)) {
	m.scheduler.After(ledsim.PeerDelay, func() {
		for _, n := range m.nodes {
			if n.Incarnation == holder && !n.Ended() && !m.partitioned {
				tokens := n.Book.Lend(l.Budget, l.Tokens, l.Least)
				m.scheduler.After(ledsim.PeerDelay, func() { done(tokens) })
				return
			}
		}
		m.scheduler.After(ledsim.PeerDelay, func() { done(0) })
	})
}

// generateRequest generates a request and schedules the next arrival. All random values of the request are drawn here,
// so that every policy sees the same load.
func (m *model) generateRequest() {
	interarrival := time.Duration(m.loadRand.ExpFloat64() / m.comparison.Rate * float64(time.Second))
	m.scheduler.After(interarrival, m.generateRequest)
	pick := m.loadRand.Float64()
	org := 0
	for org < organisations-1 && pick >= m.weights[org] {
		pick -= m.weights[org]
		org++
	}
	// A request uses between none and all of its reserved tokens, two fifths on average.
	tokens := 250 + m.loadRand.Int64N(2*meanTokens*5/2-500)
	least := tokens
	if m.loadRand.IntN(2) == 0 {
		least = tokens / 4
	}
	r := &request{
		org: org, usedRatio: math.Pow(m.loadRand.Float64(), 1.5),
		duration:  time.Duration(m.loadRand.Int64N(int64(8 * time.Second))),
		nodeIndex: m.loadRand.IntN(m.comparison.Instances),
	}
	m.result.Requests++
	r.request = ledger.ReserveRequest{Budget: budgetKey(org), Request: fmt.Sprint("q", m.result.Requests), Tokens: tokens, Least: least}
	if m.scenario == LowBudget && org == lowBudgetOrg && m.log.Down {
		r.nodeIndex %= lowBudgetInstances
	}
	m.send(r, m.scheduler.Now())
}

// isMeasured reports whether a request is part of the results. In LowBudget these are the requests of lowBudgetOrg
// while the log is down, otherwise all requests after the warm-up.
func (m *model) isMeasured(r *request) bool {
	if m.scenario == LowBudget {
		return m.log.Down && r.org == lowBudgetOrg
	}
	return m.scheduler.Now().Sub(simul.NewScheduler().Now()) > warmUp
}

func (m *model) send(r *request, arrived time.Time) {
	n := m.nodes[r.nodeIndex]
	if n.Ended() {
		r.nodeIndex = (r.nodeIndex + 1) % m.comparison.Instances
		n = m.nodes[r.nodeIndex]
	}
	n.Do(func() {
		n.Reserve(r.request, func(a ledger.Decision) {
			if a.Refused != nil {
				m.onRefused(r)
				return
			}
			m.onGranted(r, n, a.Reservation, m.scheduler.Now().Sub(arrived))
		})
	})
}

func (m *model) onRefused(r *request) {
	if !m.isMeasured(r) {
		return
	}
	m.result.Refused++
	budget := m.fold.Budgets[r.request.Budget]
	if budget != nil && budget.Paid-m.used[r.request.Budget]-m.reserved[r.request.Budget] >= r.request.Least {
		m.result.FalseRefusals++
	}
}

func (m *model) onGranted(r *request, n *ledsim.Node, g ledger.Reservation, waited time.Duration) {
	r.granted, r.reservation = true, g
	m.reserved[r.request.Budget] += g.CoveredTokens()
	m.inFlight[n] = append(m.inFlight[n], r)
	if m.isMeasured(r) {
		m.result.Granted++
		m.waitTimes = append(m.waitTimes, waited)
	}
	m.scheduler.After(r.duration, func() {
		n.Do(func() { m.settle(r, n) })
	})
}

func (m *model) settle(r *request, n *ledsim.Node) {
	r.ended = true
	m.reserved[r.request.Budget] -= r.reservation.CoveredTokens()
	used := int64(r.usedRatio * float64(r.reservation.CoveredTokens()))
	m.recordUse(r, used)
	if i := slices.Index(m.inFlight[n], r); i >= 0 {
		m.inFlight[n] = slices.Delete(m.inFlight[n], i, i+1)
	}
	n.Book.Settle(r.reservation.ID, used)
}

// recordUse records the actual use of a request, which is the maximum over its attempts.
func (m *model) recordUse(r *request, used int64) {
	if used <= r.maxUsed {
		return
	}
	budget := r.request.Budget
	m.used[budget] += used - r.maxUsed
	r.maxUsed = used
	m.result.Overspend = max(m.result.Overspend, m.used[budget]-m.fold.Budgets[budget].Paid)
}

// onAppended applies each appended record to the observer's state.
func (m *model) onAppended(e tail.Record) {
	b, err := tail.DecodeBatch(e.Data)
	if err != nil || !m.dedup.Admit(e.Offset, b) {
		m.err = err
		return
	}
	if _, err := m.fold.Apply(b.Incarnation, b.Items); err != nil {
		m.err = err
	}
	if m.fold.Violations > 0 && m.err == nil {
		m.err = m.fold.Check()
		m.result.Overspend = max(m.result.Overspend, 1)
	}
}

func (m *model) computeResult() {
	live := map[string]bool{}
	for _, n := range m.nodes {
		live[n.Incarnation] = !n.Ended()
	}
	var paid, stranded int64
	for i := range organisations {
		b := m.fold.Budgets[budgetKey(i)]
		if m.scenario == LowBudget && i != lowBudgetOrg {
			continue
		}
		paid += b.Paid
		for _, h := range b.Holdings {
			if !live[h.Incarnation] {
				stranded += h.Tokens
			}
		}
	}
	result := &m.result
	result.StrandedRatio = ratio(stranded, paid)
	seconds := m.comparison.Duration.Seconds()
	result.AppendRate = float64(m.log.Appends) / seconds
	result.ByteRate = float64(m.log.Bytes) * (1 + 1/float64(m.comparison.Instances)) / seconds
	result.Requests = result.Granted + result.Refused
	slices.Sort(m.waitTimes)
	if n := len(m.waitTimes); n > 0 {
		result.P50, result.P99 = m.waitTimes[n/2], m.waitTimes[n*99/100]
	}
}
