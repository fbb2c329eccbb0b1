// Package proxy is a TCP proxy with injectable network faults. Tests place it between two processes to cut the
// connections between them or to drop their traffic silently. It counts the bytes that it forwards.
package proxy

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

// State is how a gate handles connections.
type State string

// States of a gate.
const (
	// Open forwards traffic.
	Open State = "open"
	// Closed closes existing connections, and new ones as soon as they are accepted.
	Closed State = "closed"
	// Silent keeps connections open and accepts new ones, but drops their traffic. A connection that was silenced stays
	// silent even after the gate is opened again.
	Silent State = "silent"
)

// dialTimeout bounds the time to connect to the target.
const dialTimeout = time.Second

// bufferBytes is the size of the copy buffer of each direction.
const bufferBytes = 16 << 10

// Proxy forwards TCP connections to Target. The exported fields must be set, and Listen called, before Run.
type Proxy struct {
	// Target is the address that connections are forwarded to.
	Target string

	listener net.Listener
	mu       sync.Mutex
	state    State
	conns    map[*proxiedConn]bool
	bytes    atomic.Int64
}

// proxiedConn is one proxied connection; target is nil if a silent gate accepted the connection.
type proxiedConn struct {
	client, target net.Conn
	silenced       atomic.Bool
}

// String identifies the gate in logs.
func (g *Proxy) String() string { return fmt.Sprintf("gate at %s to %s", g.Addr(), g.Target) }

// Default initialises the gate in state Open.
func (g *Proxy) Default() {
	g.state = Open
	g.conns = map[*proxiedConn]bool{}
}

// Listen opens a listener on a free loopback port.
func (g *Proxy) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("open the listener of a gate on a free loopback port: %w", err)
	}
	g.listener = l
	return nil
}

// Addr returns the address that the gate listens on.
func (g *Proxy) Addr() string { return g.listener.Addr().String() }

// Bytes returns the number of bytes forwarded so far, in both directions together.
func (g *Proxy) Bytes() int64 { return g.bytes.Load() }

// SetState changes the state. The change applies at once to existing connections.
func (g *Proxy) SetState(s State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state = s
	for p := range g.conns {
		switch s {
		case Closed:
			p.close()
		case Silent:
			p.silenced.Store(true)
		}
	}
}

// Run forwards connections until the context is cancelled.
func (g *Proxy) Run(ctx context.Context) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		_ = g.listener.Close()
		g.SetState(Closed)
	})
	defer stop()
	for {
		client, err := g.listener.Accept()
		if err != nil {
			_ = group.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept a connection at %s: %w", g, err)
		}
		group.Go(func() error {
			g.forward(ctx, client)
			return nil
		})
	}
}

// forward proxies one connection until both directions have ended.
func (g *Proxy) forward(ctx context.Context, client net.Conn) {
	p := &proxiedConn{client: client}
	defer p.close()
	dialer := &net.Dialer{Timeout: dialTimeout}
	if g.currentState() == Open {
		target, err := dialer.DialContext(ctx, "tcp", g.Target)
		if err != nil {
			return
		}
		p.target = target
	}
	if !g.register(p) {
		return
	}
	defer g.unregister(p)
	var group errgroup.Group
	group.Go(func() error { return g.copyOneWay(p, p.client, p.target) })
	if p.target != nil {
		group.Go(func() error { return g.copyOneWay(p, p.target, p.client) })
	}
	_ = group.Wait()
}

// copyOneWay copies bytes in one direction. It drops the bytes of a silenced connection and does not propagate its
// closing to the other side.
func (g *Proxy) copyOneWay(p *proxiedConn, from, to net.Conn) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !p.silenced.Load() {
			g.bytes.Add(int64(n))
			_, err = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if p.silenced.Load() {
			_ = from.Close()
		} else {
			p.close()
		}
		return err
	}
}

func (p *proxiedConn) close() {
	_ = p.client.Close()
	if p.target != nil {
		_ = p.target.Close()
	}
}

func (g *Proxy) currentState() State {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.state
}

// register adds a connection and silences it if the gate does not forward it. It returns false if the gate is closed.
func (g *Proxy) register(p *proxiedConn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.state == Closed {
		return false
	}
	p.silenced.Store(g.state == Silent || p.target == nil)
	g.conns[p] = true
	return true
}

func (g *Proxy) unregister(p *proxiedConn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, p)
}
