// Package sizing measures the cost of each additional entity of an instance, such as a budget, a key or a target, in
// memory, CPU time and bytes. docs/CAPACITY.md derives the design capacity from the results.
package sizing

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"runtime"
	"strings"
	"time"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/once"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/tail"
)

// Bench measures the cost per entity. The exported fields must be set before Run.
type Bench struct {
	// Out receives the table of results.
	Out io.Writer
	// Budgets, Keys, Targets, Incarnations, Organisations and Peers are the numbers of entities to create.
	Budgets, Keys, Targets, Incarnations, Organisations, Peers int
}

// String identifies the measurement in error messages.
func (b *Bench) String() string { return "cost per entity of an instance" }

// Default sets the defaults of unset fields.
func (b *Bench) Default() {
	defaults := []struct {
		field *int
		value int
	}{
		{&b.Budgets, 330_000}, {&b.Keys, 100_000}, {&b.Targets, 12_000}, {&b.Incarnations, 100_000}, {&b.Organisations, 230},
		{&b.Peers, 390},
	}
	for _, d := range defaults {
		if *d.field == 0 {
			*d.field = d.value
		}
	}
}

// measurement is one row of the table.
type measurement struct {
	name  string
	count int
	// heapBytes is the heap memory that all entities retain; elapsed is the time to create them.
	heapBytes int64
	elapsed   time.Duration
	note      string
}

// Run performs the measurements one after another and writes the row of each to the table of results in Out as soon as
// it is measured. If the context ends, it stops before the next measurement and returns nil, and the table is
// incomplete. It also stops at the first error; the rows written so far stay in Out.
func (b *Bench) Run(ctx context.Context) error {
	_, err := fmt.Fprint(b.Out, "| entity | count | memory each, bytes | time each, us | notes |\n| --- | --- | --- | --- | --- |\n")
	for _, runMeasurement := range []func() (measurement, error){
		b.measureBudgets, b.measureCharges, b.measureKeys, b.measureIncarnations, b.measureTemplates, b.measureTargets,
		b.measurePicks, b.measurePeers,
	} {
		if err != nil || ctx.Err() != nil {
			return err
		}
		var r measurement
		if r, err = runMeasurement(); err != nil {
			return err
		}
		_, err = fmt.Fprintf(b.Out, "| %s | %d | %.0f | %.2f | %s |\n", r.name, r.count,
			float64(r.heapBytes)/float64(r.count), float64(r.elapsed.Nanoseconds())/1e3/float64(r.count), r.note)
	}
	return err
}

// incarnation is the incarnation that writes the records.
const incarnation = "a0b1c2d3-e4f5-4a6b-8c7d-9e0f1a2b3c4d"

// measure calls build, which creates count entities, and returns their cost. The value retained is kept reachable until
// the heap has been measured.
func measure(name string, count int, build func() (retained any, note string, err error)) (measurement, error) {
	heapBefore := heapInUse()
	started := time.Now()
	retained, note, err := build()
	elapsed := time.Since(started)
	r := measurement{name: name, count: count, heapBytes: heapInUse() - heapBefore, elapsed: elapsed, note: note}
	runtime.KeepAlive(retained)
	return r, err
}

// heapInUse returns the heap memory in use after a garbage collection, in bytes.
func heapInUse() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func budgetKey(i int) string {
	return ledger.BudgetKey(fmt.Sprintf("organisation-%03d", i%230), fmt.Sprintf("team-%06d", i))
}

func (b *Bench) newLedger() (*ledger.Fold, error) {
	fold := ledger.New()
	for i := range b.Budgets {
		_, err := fold.Apply(incarnation, []tail.Item{
			tail.NewItem(ledger.KindTopUp, ledger.TopUp{ID: "first", Budget: budgetKey(i), Tokens: 1 << 40}),
			tail.NewItem(ledger.KindDraw, ledger.Draw{Budget: budgetKey(i), Tokens: 1 << 30, Least: 1}),
		})
		if err != nil {
			return nil, err
		}
	}
	return fold, nil
}

func (b *Bench) measureBudgets() (measurement, error) {
	return measure("budget in the ledger, after a top-up and a draw", b.Budgets, func() (any, string, error) {
		fold, err := b.newLedger()
		if err != nil {
			return nil, "", err
		}
		started := time.Now()
		state, err := fold.Save()
		return fold, fmt.Sprintf("snapshot of all budgets: %.1f MB, encoded in %s", float64(len(state))/1e6,
			time.Since(started).Round(time.Millisecond)), err
	})
}

func (b *Bench) measureCharges() (measurement, error) {
	fold, err := b.newLedger()
	if err != nil {
		return measurement{}, err
	}
	return measure("charge in the ledger, retained for comparison with later ones", b.Keys, func() (any, string, error) {
		size := 0
		for i := range b.Keys {
			item := tail.NewItem(ledger.KindCharge, ledger.Charge{
				Budget: budgetKey(i), Request: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i), Digest: uint64(i) << 32,
				Tokens: 200, From: []ledger.Part{{Tokens: 200}},
			})
			size += len(item.Body)
			if _, err := fold.Apply(incarnation, []tail.Item{item}); err != nil {
				return nil, "", err
			}
		}
		return fold, fmt.Sprintf("%d bytes in the log", size/b.Keys), nil
	})
}

func (b *Bench) measureKeys() (measurement, error) {
	return measure("idempotency key with a response of 200 bytes", b.Keys, func() (any, string, error) {
		f, size := once.New(), 0
		body := []byte(strings.Repeat("x", 200))
		for i := range b.Keys {
			key := fmt.Sprintf("organisation-%03d/key-%08d", i%230, i)
			items := []tail.Item{
				tail.NewItem(once.KindClaim, once.Claim{Key: key, Digest: uint64(i) << 32}),
				tail.NewItem(once.KindResult, once.Result{Key: key, Status: 200, ContentType: "application/json", Body: body}),
			}
			size += len(items[0].Body) + len(items[1].Body)
			if _, err := f.Apply(incarnation, items); err != nil {
				return nil, "", err
			}
		}
		return f, fmt.Sprintf("%d bytes in the log", size/b.Keys), nil
	})
}

func (b *Bench) measureIncarnations() (measurement, error) {
	return measure("incarnation in the duplicate filter", b.Incarnations, func() (any, string, error) {
		g := tail.NewDeduplicator()
		for i := range b.Incarnations {
			g.Admit(int64(i), tail.Batch{Incarnation: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i), Seq: 1, Base: int64(i)})
		}
		return g, "", nil
	})
}

func (b *Bench) measureTemplates() (measurement, error) {
	return measure("published template", b.Organisations, func() (any, string, error) {
		f, size := &conf.Fold{}, 0
		f.Default()
		for i := range b.Organisations {
			org := fmt.Sprintf("organisation-%03d", i)
			text := fmt.Sprintf("organisation = %q\nkeys_sha256 = [\"%064x\"]\n[[models]]\nmodel = \"draft\"\n", org, i)
			item := conf.PublishRequest{ID: org, Organisation: org, Body: []byte(text)}.Item()
			size += len(item.Body)
			if _, err := f.Apply(int64(i), incarnation, []tail.Item{item}); err != nil {
				return nil, "", err
			}
		}
		return f, fmt.Sprintf("%d bytes in the log", size/b.Organisations), nil
	})
}

// modelCount is the number of distinct models that the targets serve.
const modelCount = 7

func (b *Bench) newTargets() []roster.Target {
	targets := make([]roster.Target, 0, b.Targets)
	for i := range b.Targets {
		targets = append(targets, roster.Target{
			ID: fmt.Sprintf("engine-%05d", i), Incarnation: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i), Zone: "zone-a",
			Kind: roster.ModelEngine, Addr: "10.0.0.1:8000", State: roster.Live,
			Models: []roster.Model{{Model: fmt.Sprint("model-", i%modelCount), Version: "1"}},
		})
	}
	return targets
}

func (b *Bench) newTable() *route.Balancer {
	t := &route.Balancer{Now: time.Now}
	t.Default()
	t.SetTargets(b.newTargets())
	return t
}

func (b *Bench) measureTargets() (measurement, error) {
	return measure("target in the routing table", b.Targets, func() (any, string, error) {
		t := b.newTable()
		data, err := json.Marshal(roster.Members{Targets: b.newTargets()})
		return t, fmt.Sprintf("%d bytes in the platform's membership list", len(data)/b.Targets), err
	})
}

func (b *Bench) measurePicks() (measurement, error) {
	const decisions = 1000
	t := b.newTable()
	return measure(fmt.Sprintf("routing decision, %d targets of %d models", b.Targets, modelCount), decisions, func() (any, string, error) {
		for i := range decisions {
			choice, err := t.Pick(route.Request{Model: fmt.Sprint("model-", i%modelCount), Prefix: fmt.Sprint("prompt ", i)})
			if err != nil {
				return nil, "", err
			}
			t.Done(choice.DispatchID, route.OK)
		}
		return t, "", nil
	})
}

func (b *Bench) measurePeers() (measurement, error) {
	return measure("peer in the membership view", b.Peers, func() (any, string, error) {
		v := &roster.View{ID: "own"}
		v.Default()
		var size int
		for i := range b.Peers {
			p := roster.PeerView{
				InstanceID: fmt.Sprint("instance-", i), Incarnation: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i),
				Zone: "zone-a", PeerAddr: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250), ConfigVersion: 17_000, LogReached: true,
			}
			data, err := json.Marshal(p)
			if err != nil {
				return nil, "", err
			}
			size += len(data)
			v.RecordReply(p, time.Now())
		}
		return v, fmt.Sprintf("%d bytes as JSON", size/b.Peers), nil
	})
}
