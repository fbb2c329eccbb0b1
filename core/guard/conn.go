package guard

import (
	"bytes"
	"time"
)

// progress records that bytes have come or gone.
func (c *Conn) progress(n int) {
	c.moved += n
	if c.moved >= progressBytes {
		c.restart()
	}
}

// restart begins the measurement of progress.
func (c *Conn) restart() { c.progressAt, c.moved = time.Now(), 0 }

// Received records bytes that were read from the connection. It returns ErrShort if they are part of a head for which there is no memory.
func (c *Conn) Received(p []byte) error {
	if len(p) == 0 {
		return nil
	}
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.ended && c.interrupt == nil {
		return ErrShort
	}
	if c.phase == Idle {
		c.phase = Head
		c.restart()
	}
	if c.phase != Run {
		c.progress(len(p))
	}
	if c.phase != Head {
		return nil
	}
	n := HeadBytes(len(p), bytes.Count(p, []byte{'\n'}))
	if !g.makeRoom(c, heads, n) {
		g.close(c, heads.String())
		return ErrShort
	}
	g.set(c, heads, c.bytes[heads]+n)
	return nil
}

// HeadBytes returns the memory that a head with some bytes of text in a number of fields uses.
func HeadBytes(text, fields int) int64 { return int64(text)*textCopies + int64(fields)*FieldBytes }

// BeginRequest records that a head of some size is complete and that its body, if any, is read next. Interrupt must make reading fail. It returns
// ErrShort if there is no memory for the head.
func (c *Conn) BeginRequest(headBytes int64, interrupt func()) error {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.ended {
		return ErrShort
	}
	c.phase, c.interrupt = Body, interrupt
	c.restart()
	// What was received may contain a part of the body, or the head was received with the request before.
	g.set(c, heads, 0)
	if !g.makeRoom(c, heads, headBytes) {
		return ErrShort
	}
	g.set(c, heads, headBytes)
	return nil
}

// HasRoom makes room for a body of an announced length, and reports whether there is.
func (c *Conn) HasRoom(n int64) bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return !c.ended && c.guard.makeRoom(c, bodies, n)
}

// HoldBody accounts for n more bytes of the body. It returns ErrShort if there is no memory for them or the request was ended.
func (c *Conn) HoldBody(n int64) error {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.ended || !g.makeRoom(c, bodies, n) {
		return ErrShort
	}
	g.set(c, bodies, c.bytes[bodies]+n)
	return nil
}

// Process records that the request is complete and may be processed. It returns ErrShort if the request was ended, and must not be.
func (c *Conn) Process() error {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.ended {
		return ErrShort
	}
	c.phase, c.interrupt = Run, nil
	c.restart()
	return nil
}

// Refuse records that the request is refused: it holds no memory for its body any more.
func (c *Conn) Refuse() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set(c, bodies, 0)
	c.interrupt = nil
}

// Ended reports whether the request was ended.
func (c *Conn) Ended() bool {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	return c.ended
}

// EndRequest records that the response to the request was written; the connection is idle.
func (c *Conn) EndRequest() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.set(c, heads, 0)
	g.set(c, bodies, 0)
	c.phase, c.interrupt = Idle, nil
	c.restart()
}

// BeginWrite records that a write begins, and EndWrite that it ended.
func (c *Conn) BeginWrite() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	if c.phase == Run {
		c.restart()
	}
	c.writing = true
}

// EndWrite records that a write of n bytes ended.
func (c *Conn) EndWrite() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.writing = false
	if c.phase == Run {
		c.restart()
	}
}

// Closed ends the account of the connection.
func (c *Conn) Closed() {
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.drop(c)
}
