package memory

import "math/bits"

// Sizes of the arrays that buffers grow to: powers of two from twice SmallBytes on. Larger arrays are not used again.
const (
	minClassBits = 13
	maxClassBits = 21
)

// freeShare is the share of the limit of a pool, as a divisor, that arrays may use which no holder uses at present.
const freeShare = 8

// Grow returns b with room for n more bytes. An array larger than SmallBytes that it replaces is used again for another buffer of the pool, so that buffers that
// grow at the same time leave no garbage: what is allocated during a collection counts as in use until the next one. The caller must hold the only
// reference to the array of b.
func (p *Pool) Grow(b []byte, n int) []byte {
	need := len(b) + n
	if need <= cap(b) {
		return b
	}
	if need <= SmallBytes {
		return append(make([]byte, 0, max(need, 2*cap(b))), b...)
	}
	class := max(bits.Len(uint(need-1)), minClassBits)
	grown := append(p.takeArray(class), b...)
	p.putArray(b)
	return grown
}

// takeArray returns an empty buffer of a size class.
func (p *Pool) takeArray(class int) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	if free := p.free[class]; len(free) > 0 {
		last := len(free) - 1
		b := free[last]
		free[last] = nil
		p.free[class] = free[:last]
		p.freeBytes -= int64(cap(b))
		return b
	}
	return make([]byte, 0, 1<<class)
}

// putArray keeps the array of a buffer for another one if it is of a size class and there is room.
func (p *Pool) putArray(b []byte) {
	size := cap(b)
	class := bits.Len(uint(size)) - 1
	if class < minClassBits || class > maxClassBits || size != 1<<class {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.freeBytes+int64(size) > p.Bytes/freeShare {
		return
	}
	if p.free == nil {
		p.free = map[int][][]byte{}
	}
	p.free[class] = append(p.free[class], b[:0])
	p.freeBytes += int64(size)
}

// Grow is Grow of the pool of h.
func (h *Holder) Grow(b []byte, n int) []byte { return h.pool.Grow(b, n) }
