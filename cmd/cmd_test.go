package cmd_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"cranberryrail/cmd"
	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/tail"
	"cranberryrail/io/oper"
)

const operatorKey = "operator key"

// runResult holds the exit status and output of one run of the command line.
type runResult struct {
	status   int
	out, err string
}

func run(t *testing.T, args ...string) runResult {
	t.Helper()
	var out, errs bytes.Buffer
	app := cmd.App{Stdout: &out, Stderr: &errs, Getenv: func(key string) string {
		return map[string]string{"CRANBERRYRAIL_OPERATOR_KEY": operatorKey, "USER": "op"}[key]
	}}
	status := app.Main(t.Context(), args)
	return runResult{status, out.String(), errs.String()}
}

func assertSucceeded(t *testing.T, r runResult, texts ...string) {
	t.Helper()
	assert.Equal(t, r.status, 0, r.err)
	assertContains(t, r.out, texts...)
}

func assertFailed(t *testing.T, r runResult, status int, texts ...string) {
	t.Helper()
	assert.Equal(t, r.status, status, r.out+r.err)
	assertContains(t, r.err, texts...)
}

func assertContains(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "%q not found in:\n%s", part, text)
	}
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// operatorServer serves the operator API from state in memory.
type operatorServer struct {
	mu          sync.Mutex
	fold        conf.Fold
	offset      int64
	lastChange  oper.Change
	topUps      map[string]int64
	unconfirmed []oper.InstanceState
	url         string
	balance     ledger.Balance
}

func newOperatorServer(t *testing.T) *operatorServer {
	t.Helper()
	sum := sha256.Sum256([]byte(operatorKey))
	i := &operatorServer{topUps: map[string]int64{}, balance: ledger.Balance{Budget: "a/main", Paid: 1000, Spent: 70}}
	s := &oper.Server{
		ListenAddr: "127.0.0.1:0", KeySHA256: hex.EncodeToString(sum[:]),
		Publish: i.publish,
		Templates: func() (all []conf.PublishedTemplate, err error) {
			i.withLock(func() { all = i.fold.All() })
			return all, nil
		},
		TopUp: i.topUp,
		Balances: func() ([]ledger.Balance, error) {
			return []ledger.Balance{i.currentBalance(), {Budget: "ab/main"}}, nil
		},
		Usage: func(budget string) (oper.Usage, error) {
			b := i.currentBalance()
			return oper.Usage{Budget: budget, Earlier: 30, Bills: []oper.UsageBill{{Request: "r1", Tokens: 40}}, Balance: &b}, nil
		},
		Targets:   func() any { return []map[string]any{{"zone": "z", "id": "engine-1", "models": []string{"draft"}}} },
		Instances: i.instances,
		Reports: map[string]func(context.Context) (any, error){
			"burn": func(context.Context) (any, error) { return map[string]int{"fast": 2}, nil },
		},
	}
	s.Default()
	assert.NilError(t, s.Listen(t.Context()))
	i.url = "http://" + s.Addr()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	g.Go(func() error { return s.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
	})
	return i
}

// withLock calls f with the lock held.
func (i *operatorServer) withLock(f func()) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f()
}

func (i *operatorServer) currentBalance() (b ledger.Balance) {
	i.withLock(func() { b = i.balance })
	return b
}

func (i *operatorServer) publish(c oper.Change) (conf.Outcome, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	p := conf.PublishRequest{ID: c.ID, Organisation: c.Organisation, BasedOn: c.BasedOn, Body: []byte(c.Template), By: c.By}
	item := p.Item()
	if c.Remove {
		item = p.RemoveItem()
	}
	outcomes, err := i.fold.Apply(i.offset, "inc", []tail.Item{item})
	i.offset, i.lastChange = i.offset+1, c
	if err != nil {
		return conf.Outcome{}, err
	}
	return outcomes[0], nil
}

func (i *operatorServer) topUp(u oper.TopUp) (oper.TopUpReply, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	_, repeated := i.topUps[u.ID]
	i.topUps[u.ID] = u.Tokens
	return oper.TopUpReply{Budget: ledger.BudgetKey(u.Organisation, u.Budget), Tokens: u.Tokens, Repeated: repeated}, nil
}

func (i *operatorServer) instances(context.Context) []oper.InstanceState {
	i.mu.Lock()
	defer i.mu.Unlock()
	return append(slices.Clone(i.unconfirmed), oper.InstanceState{ID: "i-1", State: "ready", ConfigVersion: i.fold.Version})
}
