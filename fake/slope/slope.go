// Package slope measures what one more of each thing costs an instance: memory,
// processor time and bytes, from which docs/CAPACITY.md works out the size that is
// designed for.
package slope

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

// Bench measures slopes. Exported fields are set before Run.
type Bench struct {
	// Out takes the table.
	Out io.Writer
	// Budgets, Keys, Targets, Incarnations, Organisations and Peers are how many of each
	// are made.
	Budgets, Keys, Targets, Incarnations, Organisations, Peers int
}

// String names the measurement.
func (b *Bench) String() string { return "slopes of an instance" }

// Default fills fields that were left empty.
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

// row is one line of the table.
type row struct {
	what  string
	count int
	// heap is what all of them keep in memory; spent is the time to make them.
	heap  int64
	spent time.Duration
	note  string
}

// Run measures and writes the table.
func (b *Bench) Run(ctx context.Context) error {
	_, err := fmt.Fprint(b.Out, "| what | how many | memory each, bytes | time each, us | besides |\n| --- | --- | --- | --- | --- |\n")
	for _, measure := range []func() (row, error){b.budgets, b.charges, b.keys, b.incarnations, b.templates, b.targets, b.picks, b.peers} {
		if err != nil || ctx.Err() != nil {
			return err
		}
		var r row
		if r, err = measure(); err != nil {
			return err
		}
		_, err = fmt.Fprintf(b.Out, "| %s | %d | %.0f | %.2f | %s |\n", r.what, r.count,
			float64(r.heap)/float64(r.count), float64(r.spent.Nanoseconds())/1e3/float64(r.count), r.note)
	}
	return err
}

// inc is the incarnation of the measured writer.
const inc = "a0b1c2d3-e4f5-4a6b-8c7d-9e0f1a2b3c4d"

// measured makes something and returns its cost; keep is what it keeps in memory.
func measured(what string, count int, build func() (keep any, note string, err error)) (row, error) {
	before := heap()
	started := time.Now()
	keep, note, err := build()
	spent := time.Since(started)
	r := row{what: what, count: count, heap: heap() - before, spent: spent, note: note}
	runtime.KeepAlive(keep)
	return r, err
}

// heap returns the memory in use after a collection, in bytes.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

func budget(i int) string {
	return ledger.BudgetKey(fmt.Sprintf("organisation-%03d", i%230), fmt.Sprintf("team-%06d", i))
}

func (b *Bench) fold() (*ledger.Fold, error) {
	f := ledger.New()
	for i := range b.Budgets {
		_, err := f.Apply(inc, []tail.Item{
			tail.NewItem(ledger.KindTopUp, ledger.TopUp{ID: "first", Budget: budget(i), Tokens: 1 << 40}),
			tail.NewItem(ledger.KindDraw, ledger.Draw{Budget: budget(i), Tokens: 1 << 30, Least: 1}),
		})
		if err != nil {
			return nil, err
		}
	}
	return f, nil
}

func (b *Bench) budgets() (row, error) {
	return measured("budget in the ledger, topped up and drawn on", b.Budgets, func() (any, string, error) {
		f, err := b.fold()
		if err != nil {
			return nil, "", err
		}
		started := time.Now()
		state, err := f.Save()
		return f, fmt.Sprintf("snapshot of all: %.1f MB, saved in %s", float64(len(state))/1e6, time.Since(started).Round(time.Millisecond)), err
	})
}

func (b *Bench) charges() (row, error) {
	f, err := b.fold()
	if err != nil {
		return row{}, err
	}
	return measured("charge folded and kept for comparison", b.Keys, func() (any, string, error) {
		size := 0
		for i := range b.Keys {
			item := tail.NewItem(ledger.KindCharge, ledger.Charge{
				Budget: budget(i), Request: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i), Digest: uint64(i) << 32, Tokens: 200,
				From: []ledger.Part{{Tokens: 200}},
			})
			size += len(item.Body)
			if _, err := f.Apply(inc, []tail.Item{item}); err != nil {
				return nil, "", err
			}
		}
		return f, fmt.Sprintf("%d bytes in the log", size/b.Keys), nil
	})
}

func (b *Bench) keys() (row, error) {
	return measured("call that must not be repeated, answer of 200 bytes", b.Keys, func() (any, string, error) {
		f, size := once.New(), 0
		body := []byte(strings.Repeat("x", 200))
		for i := range b.Keys {
			key := fmt.Sprintf("organisation-%03d/key-%08d", i%230, i)
			items := []tail.Item{
				tail.NewItem(once.KindClaim, once.Claim{Key: key, Digest: uint64(i) << 32}),
				tail.NewItem(once.KindResult, once.Result{Key: key, Status: 200, ContentType: "application/json", Body: body}),
			}
			size += len(items[0].Body) + len(items[1].Body)
			if _, err := f.Apply(inc, items); err != nil {
				return nil, "", err
			}
		}
		return f, fmt.Sprintf("%d bytes in the log", size/b.Keys), nil
	})
}

func (b *Bench) incarnations() (row, error) {
	return measured("incarnation in a gate", b.Incarnations, func() (any, string, error) {
		g := tail.NewGate()
		for i := range b.Incarnations {
			g.Admit(int64(i), tail.Batch{Inc: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i), Seq: 1, Base: int64(i)})
		}
		return g, "", nil
	})
}

func (b *Bench) templates() (row, error) {
	return measured("template published", b.Organisations, func() (any, string, error) {
		f, size := &conf.Fold{}, 0
		f.Default()
		for i := range b.Organisations {
			org := fmt.Sprintf("organisation-%03d", i)
			text := fmt.Sprintf("organisation = %q\nkeys_sha256 = [\"%064x\"]\n[[models]]\nmodel = \"draft\"\n", org, i)
			item := conf.Publish{ID: org, Organisation: org, Body: []byte(text)}.Item()
			size += len(item.Body)
			if _, err := f.Apply(int64(i), inc, []tail.Item{item}); err != nil {
				return nil, "", err
			}
		}
		return f, fmt.Sprintf("%d bytes in the log", size/b.Organisations), nil
	})
}

// models is the number of models among the targets.
const models = 7

func (b *Bench) list() []roster.Target {
	list := make([]roster.Target, 0, b.Targets)
	for i := range b.Targets {
		list = append(list, roster.Target{
			ID: fmt.Sprintf("engine-%05d", i), Incarnation: fmt.Sprintf("a0b1c2d3-e4f5-4a6b-8c7d-%012d", i), Zone: "zone-a",
			Kind: roster.ModelEngine, Addr: "10.0.0.1:8000", State: roster.Live,
			Models: []roster.Model{{Model: fmt.Sprint("model-", i%models), Version: "1"}},
		})
	}
	return list
}

func (b *Bench) table() *route.Table {
	t := &route.Table{Now: time.Now}
	t.Default()
	t.SetTargets(b.list())
	return t
}

func (b *Bench) targets() (row, error) {
	return measured("target in the routing table", b.Targets, func() (any, string, error) {
		t := b.table()
		data, err := json.Marshal(roster.Members{Targets: b.list()})
		return t, fmt.Sprintf("%d bytes in the platform's list", len(data)/b.Targets), err
	})
}

func (b *Bench) picks() (row, error) {
	const picks = 1000
	t := b.table()
	return measured(fmt.Sprintf("choice among %d targets of %d models", b.Targets, models), picks, func() (any, string, error) {
		for i := range picks {
			c, err := t.Pick(route.Request{Model: fmt.Sprint("model-", i%models), Prefix: fmt.Sprint("prompt ", i)})
			if err != nil {
				return nil, "", err
			}
			t.Done(c.Token, route.OK)
		}
		return t, "", nil
	})
}

func (b *Bench) peers() (row, error) {
	return measured("other instance in the view", b.Peers, func() (any, string, error) {
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
			v.Heard(p, time.Now())
		}
		return v, fmt.Sprintf("%d bytes as JSON", size/b.Peers), nil
	})
}
