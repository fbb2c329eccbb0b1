// Package guard accounts for what the callers of a listener hold: connections, bytes of request heads and bodies, and time without progress. When capacity is
// short, it decides which connections end: those that have stalled, then those of the address that holds the most, then the least recently used ones or the
// largest incomplete requests.
package guard

import (
	"errors"
	"sync"
	"time"
)

const (
	// FieldBytes is the memory that a header field uses besides its text: the map entries of the request and of the two copies with which it is passed on.
	FieldBytes = 300
	// textCopies is the number of copies of the text of a head: that of the connection and that of the request.
	textCopies = 2
	// progressBytes is what must be sent or read within the stall time to count as progress: a caller that sends a byte at a time has stalled.
	progressBytes = 4 << 10
	// smallBytes is the size up to which heads and bodies may use all of the memory. Larger ones leave 1/smallShare of it to small ones, since what is being
	// processed can't be ended.
	smallBytes = 64 << 10
	smallShare = 8
	// muchMore is how many times as much a caller or an address must hold as another one to be ended in its place.
	muchMore = 2
)

// ErrShort reports that a request was ended, or must be refused, because capacity is short.
var ErrShort = errors.New("the memory for requests is used up, and this one has stalled or holds the most")

// Phase is what a connection is used for at present.
type Phase string

// Phases. A request in the phases Head and Body was not processed and never is if it ends.
const (
	Idle Phase = "idle"
	Head Phase = "head"
	Body Phase = "body"
	Run  Phase = "run"
)

// Guard accounts for the connections of a listener. Exported fields are set before the first call; a limit of 0 means none. It is safe for concurrent use.
type Guard struct {
	// MaxConns limits the connections, MaxHeadBytes the memory for heads, and MaxBodyBytes that for bodies.
	MaxConns                   int
	MaxHeadBytes, MaxBodyBytes int64
	// Stall is the time without progress after which a connection has stalled, and ReadLimit the one after which it is closed if its caller does not read.
	Stall, ReadLimit time.Duration
	// OnClosed is called for each connection that ends, with the capacity that was short. It must not call the guard. Optional.
	OnClosed func(short string)

	mu    sync.Mutex
	conns map[*Conn]struct{}
	addrs map[string]*held
	// total is what all connections and reserved bodies hold.
	total held
	// accepted is the number of connections that were accepted.
	accepted int64
}

// held is what connections hold together.
type held struct {
	conns int
	bytes [2]int64
}

// kind is a kind of bytes.
type kind int

const (
	heads kind = iota
	bodies
)

func (k kind) String() string { return [...]string{"heads", "bodies"}[k] }

// Conn is what one connection holds.
type Conn struct {
	guard *Guard
	addr  string
	// end closes the connection, and interrupt ends the reading of a body so that the request is refused; nil while none is read.
	end, interrupt func()
	phase          Phase
	bytes          [2]int64
	// progressAt is when the last progress was made, and moved how many bytes have come or gone since.
	progressAt time.Time
	moved      int
	// number is the number of the connection in the order in which they were accepted.
	number int64
	// writing is set while a write waits for the caller.
	writing bool
	// ended is set if the connection was ended or its request must be refused.
	ended bool
}

// String returns the name of the guard for logs.
func (g *Guard) String() string { return "guard of a listener" }

// Admit accounts for a new connection, and ends another one if there are too many. End closes the connection and must not call the guard.
func (g *Guard) Admit(addr string, end func()) *Conn {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.conns == nil {
		g.conns, g.addrs = map[*Conn]struct{}{}, map[string]*held{}
	}
	c := &Conn{guard: g, addr: addr, end: end, phase: Head, progressAt: time.Now(), number: g.accepted}
	g.accepted++
	if g.addrs[addr] == nil {
		g.addrs[addr] = &held{}
	}
	for g.MaxConns > 0 && g.total.conns >= g.MaxConns {
		victim := g.leastUsed(c)
		if victim == nil {
			victim = c
		}
		g.close(victim, "connections")
		if victim == c {
			break
		}
	}
	switch {
	case !c.ended:
		g.conns[c] = struct{}{}
		g.total.conns++
		if g.addrs[addr] == nil { // the last other connection of the address was closed
			g.addrs[addr] = &held{}
		}
		g.addrs[addr].conns++
	case g.addrs[addr] != nil && g.addrs[addr].conns == 0:
		delete(g.addrs, addr)
	}
	return c
}

// leastUsed returns the connection to close in favour of a new one: a stalled one, one of the address that has much more than others, or the least recently used
// one; nil if all are processed. Of equal ones, it is that without progress for longest.
func (g *Guard) leastUsed(c *Conn) *Conn {
	now := time.Now()
	most := 0
	for _, h := range g.addrs {
		most = max(most, h.conns)
	}
	own := 1
	if h := g.addrs[c.addr]; h != nil {
		own += h.conns
	}
	much := most >= muchMore*own
	rank := func(other *Conn) int {
		switch {
		case g.stalled(other, now):
			return 0
		case much && g.addrs[other.addr].conns == most:
			return 1
		default:
			return 2
		}
	}
	var first *Conn
	for other := range g.conns {
		if other.phase == Run && !g.stalled(other, now) {
			continue
		}
		if first == nil || rank(other) < rank(first) || rank(other) == rank(first) && other.isOlder(first) {
			first = other
		}
	}
	return first
}

// isOlder reports whether a connection made its last progress before another one, or was accepted first if that was at the same time.
func (c *Conn) isOlder(other *Conn) bool {
	if c.progressAt.Equal(other.progressAt) {
		return c.number < other.number
	}
	return c.progressAt.Before(other.progressAt)
}

// stalled reports whether a connection has stalled. While a request is processed, it has if its caller does not read.
func (g *Guard) stalled(c *Conn, now time.Time) bool {
	waits := c.writing || c.phase == Head || c.phase == Body
	return waits && g.Stall > 0 && now.Sub(c.progressAt) >= g.Stall
}

// close closes a connection.
func (g *Guard) close(c *Conn, short string) {
	g.drop(c)
	c.end()
	g.report(short)
}

func (g *Guard) report(short string) {
	if g.OnClosed != nil {
		g.OnClosed(short)
	}
}

// drop ends the account of a connection.
func (g *Guard) drop(c *Conn) {
	c.ended = true
	if _, ok := g.conns[c]; !ok {
		return
	}
	g.set(c, heads, 0)
	g.set(c, bodies, 0)
	delete(g.conns, c)
	g.total.conns--
	h := g.addrs[c.addr]
	h.conns--
	if h.conns == 0 {
		delete(g.addrs, c.addr)
	}
}

// set sets the bytes of a kind that a connection holds.
func (g *Guard) set(c *Conn, k kind, bytes int64) {
	if h := g.addrs[c.addr]; h != nil {
		h.bytes[k] += bytes - c.bytes[k]
	}
	g.total.bytes[k] += bytes - c.bytes[k]
	c.bytes[k] = bytes
}

// limit returns the memory that a request may find used that itself uses some.
func (g *Guard) limit(k kind, bytes int64) int64 {
	limit := [...]int64{g.MaxHeadBytes, g.MaxBodyBytes}[k]
	if bytes > smallBytes {
		limit -= limit / smallShare
	}
	return limit
}

// makeRoom ends requests until there is room for n more bytes of a connection, and reports whether there is.
func (g *Guard) makeRoom(c *Conn, k kind, n int64) bool {
	if [...]int64{g.MaxHeadBytes, g.MaxBodyBytes}[k] <= 0 {
		return true
	}
	need := c.bytes[k] + n
	for g.total.bytes[k]+n > g.limit(k, need) {
		victim := g.largest(c, k, need)
		if victim == nil {
			return false
		}
		g.endRequest(victim, k)
	}
	return true
}

// largest returns the connection whose request ends in favour of one that needs some bytes: a stalled one, or the largest one that is incomplete if it or its
// address holds much more; nil if there is none. Bytes that are being processed are kept.
func (g *Guard) largest(c *Conn, k kind, need int64) *Conn {
	now := time.Now()
	own := need
	if h := g.addrs[c.addr]; h != nil {
		own = max(own, h.bytes[k])
	}
	var first *Conn
	firstRank := keep
	for other := range g.conns {
		if other == c || other.bytes[k] == 0 || other.ended {
			continue
		}
		r := g.byteRank(other, k, need, own, now)
		if r < firstRank || r == firstRank && r < keep && other.bytes[k] > first.bytes[k] {
			first, firstRank = other, r
		}
	}
	return first
}

// keep is the rank of a connection that is not ended.
const keep = 3

// byteRank ranks a connection whose bytes are wanted by a request that needs some, of an address that then holds at least own.
func (g *Guard) byteRank(c *Conn, k kind, need, own int64, now time.Time) int {
	switch {
	case g.stalled(c, now):
		return 0
	case c.phase == Run:
		return keep
	case g.addrs[c.addr].bytes[k] >= muchMore*own:
		return 1
	case c.bytes[k] >= muchMore*need:
		return 2
	default:
		return keep
	}
}

// endRequest ends a request: it is refused if its body is being read, or else its connection is closed.
func (g *Guard) endRequest(c *Conn, k kind) {
	if c.interrupt == nil {
		g.close(c, k.String())
		return
	}
	c.ended = true
	g.set(c, heads, 0)
	g.set(c, bodies, 0)
	c.interrupt()
	g.report(k.String())
}

// Sweep closes the connections whose callers have not read for ReadLimit.
func (g *Guard) Sweep() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for c := range g.conns {
		if c.writing && g.ReadLimit > 0 && now.Sub(c.progressAt) >= g.ReadLimit {
			g.close(c, "read_time")
		}
	}
}

// Conns returns the number of connections.
func (g *Guard) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total.conns
}

// ReserveBody accounts for a body that does not come from a connection of the listener, and reports whether there is room for it. If so, ReleaseBody must be called.
func (g *Guard) ReserveBody(bytes int64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if bytes > 0 && g.MaxBodyBytes > 0 && g.total.bytes[bodies]+bytes > g.MaxBodyBytes {
		return false
	}
	g.total.bytes[bodies] += bytes
	return true
}

// ReleaseBody ends what ReserveBody accounted for.
func (g *Guard) ReleaseBody(bytes int64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.total.bytes[bodies] -= bytes
}

// BodyBytes returns the bytes of all bodies.
func (g *Guard) BodyBytes() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.total.bytes[bodies]
}
