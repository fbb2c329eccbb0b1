// Package gate is a TCP forwarder that tests put between two processes, to close the path
// between them or to let it go silent. It counts what passes.
package gate

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// State tells what a gate does with connections.
type State string

// States of a gate.
const (
	// Open forwards.
	Open State = "open"
	// Closed cuts off the connections that exist and refuses new ones.
	Closed State = "closed"
	// Silent accepts connections and forwards nothing. Those that exist go silent for good,
	// also when the gate is opened again.
	Silent State = "silent"
)

// dialTimeout bounds the set-up of a connection to the target.
const dialTimeout = time.Second

// bufferBytes is the most that is read at a time.
const bufferBytes = 16 << 10

// Gate forwards connections to Target. Exported fields are set before Run, which follows
// Listen.
type Gate struct {
	// Target is the address that connections are forwarded to.
	Target string

	listener net.Listener
	mu       sync.Mutex
	state    State
	pairs    map[*pair]bool
	bytes    atomic.Int64
}

// pair is one forwarded connection; far is nil when it was accepted by a silent gate.
type pair struct {
	near, far net.Conn
	frozen    atomic.Bool
}

// String names the gate for logs.
func (g *Gate) String() string { return fmt.Sprintf("gate at %s to %s", g.Addr(), g.Target) }

// Default makes the gate ready.
func (g *Gate) Default() {
	g.state = Open
	g.pairs = map[*pair]bool{}
}

// Listen opens a listener on a free port of the loopback address.
func (g *Gate) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for a gate: %w", err)
	}
	g.listener = l
	return nil
}

// Addr returns the address that the gate listens on.
func (g *Gate) Addr() string { return g.listener.Addr().String() }

// Bytes returns the number of bytes that passed in both directions.
func (g *Gate) Bytes() int64 { return g.bytes.Load() }

// Set changes the state, at once also for the connections that exist.
func (g *Gate) Set(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	for p := range g.pairs {
		switch s {
		case Closed:
			p.close()
		case Silent:
			p.frozen.Store(true)
		}
	}
}

// Run forwards until the context ends.
func (g *Gate) Run(ctx context.Context) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		_ = g.listener.Close()
		g.Set(Closed)
	})
	defer stop()
	for {
		near, err := g.listener.Accept()
		if err != nil {
			_ = group.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept at %s: %w", g, err)
		}
		group.Go(func() error {
			g.forward(ctx, near)
			return nil
		})
	}
}

// forward serves one connection until both of its directions have ended.
func (g *Gate) forward(ctx context.Context, near net.Conn) {
	p := &pair{near: near}
	defer p.close()
	dialer := &net.Dialer{Timeout: dialTimeout}
	if g.now() == Open {
		far, err := dialer.DialContext(ctx, "tcp", g.Target)
		if err != nil {
			return
		}
		p.far = far
	}
	if !g.add(p) {
		return
	}
	defer g.remove(p)
	var group errgroup.Group
	group.Go(func() error { return g.pass(p, p.near, p.far) })
	if p.far != nil {
		group.Go(func() error { return g.pass(p, p.far, p.near) })
	}
	_ = group.Wait()
}

// pass moves bytes in one direction. Those of a frozen pair are dropped, and its ends do
// not learn of each other's closing.
func (g *Gate) pass(p *pair, from, to net.Conn) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.frozen.Load() {
			g.bytes.Add(int64(n))
			_, err = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if p.frozen.Load() {
			_ = from.Close()
		} else {
			p.close()
		}
		return err
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	if p.far != nil {
		_ = p.far.Close()
	}
}

func (g *Gate) now() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// add notes a pair and reports whether it may go on in the present state.
func (g *Gate) add(p *pair) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == Closed {
		return false
	}
	p.frozen.Store(g.state == Silent || p.far == nil)
	g.pairs[p] = true
	return true
}

func (g *Gate) remove(p *pair) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pairs, p)
}
