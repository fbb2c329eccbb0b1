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

// State is how a proxy handles connections.
type State string

// States of a proxy.
const (
	// Open forwards traffic.
	Open State = "open"
	// Closed closes existing connections, and new ones as soon as they are accepted.
	Closed State = "closed"
	// Silent keeps connections open and accepts new ones, but drops their traffic. A connection that was silenced stays
	// silent even after the proxy is opened again.
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

// proxiedConn is one proxied connection; target is nil if a silent proxy accepted the connection.
type proxiedConn struct {
	client, target net.Conn
	silenced       atomic.Bool
}

// String identifies the proxy in logs.
func (p *Proxy) String() string { return fmt.Sprintf("proxy at %s to %s", p.Addr(), p.Target) }

// Default initialises the proxy in state Open.
func (p *Proxy) Default() {
	p.state = Open
	p.conns = map[*proxiedConn]bool{}
}

// Listen opens a listener on a free loopback port.
func (p *Proxy) Listen(ctx context.Context) error {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("open the listener of a proxy on a free loopback port: %w", err)
	}
	p.listener = l
	return nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// Bytes returns the number of bytes forwarded so far, in both directions together.
func (p *Proxy) Bytes() int64 { return p.bytes.Load() }

// SetState changes the state. The change applies at once to existing connections.
func (p *Proxy) SetState(s State) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.state = s
	for pc := range p.conns {
		switch s {
		case Closed:
			pc.close()
		case Silent:
			pc.silenced.Store(true)
		}
	}
}

// Run forwards connections until the context is cancelled.
func (p *Proxy) Run(ctx context.Context) error {
	var group errgroup.Group
	stop := context.AfterFunc(ctx, func() {
		_ = p.listener.Close()
		p.SetState(Closed)
	})
	defer stop()
	for {
		client, err := p.listener.Accept()
		if err != nil {
			_ = group.Wait()
			if ctx.Err() != nil {
				return nil
			}
			return fmt.Errorf("accept a connection at %s: %w", p, err)
		}
		group.Go(func() error {
			p.forward(ctx, client)
			return nil
		})
	}
}

// forward proxies one connection until both directions have ended.
func (p *Proxy) forward(ctx context.Context, client net.Conn) {
	pc := &proxiedConn{client: client}
	defer pc.close()
	dialer := &net.Dialer{Timeout: dialTimeout}
	if p.currentState() == Open {
		target, err := dialer.DialContext(ctx, "tcp", p.Target)
		if err != nil {
			return
		}
		pc.target = target
	}
	if !p.register(pc) {
		return
	}
	defer p.unregister(pc)
	var group errgroup.Group
	group.Go(func() error { return p.copyOneWay(pc, pc.client, pc.target) })
	if pc.target != nil {
		group.Go(func() error { return p.copyOneWay(pc, pc.target, pc.client) })
	}
	_ = group.Wait()
}

// copyOneWay copies bytes in one direction. It drops the bytes of a silenced connection and does not propagate its
// closing to the other side.
func (p *Proxy) copyOneWay(pc *proxiedConn, from, to net.Conn) error {
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !pc.silenced.Load() {
			p.bytes.Add(int64(n))
			_, err = to.Write(buffer[:n])
		}
		if err == nil {
			continue
		}
		if pc.silenced.Load() {
			_ = from.Close()
		} else {
			pc.close()
		}
		return err
	}
}

func (pc *proxiedConn) close() {
	_ = pc.client.Close()
	if pc.target != nil {
		_ = pc.target.Close()
	}
}

func (p *Proxy) currentState() State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// register adds a connection and silences it if the proxy does not forward it. It returns false if the proxy is closed.
func (p *Proxy) register(pc *proxiedConn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == Closed {
		return false
	}
	pc.silenced.Store(p.state == Silent || pc.target == nil)
	p.conns[pc] = true
	return true
}

func (p *Proxy) unregister(pc *proxiedConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, pc)
}
