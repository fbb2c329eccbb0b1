package spans_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/spans"
)

// TestLongestSpan guards against a stop that takes requests of a kind that last longer than the instance, because what such requests took is forgotten or mixed up.
func TestLongestSpan(t *testing.T) {
	began := time.Unix(1_000, 0)
	var tracker spans.Tracker
	end := func(kind string, at, took time.Duration) {
		tracker.Begin(kind, began.Add(at-took)).End(began.Add(at))
	}
	check := func(name, kind string, at, expected time.Duration) {
		t.Run(name, func(t *testing.T) { assert.Equal(t, tracker.Longest(kind, began.Add(at)), expected) })
	}
	check("unknown", "stream", 0, 0)
	end("stream", time.Second, 700*time.Millisecond)
	end("stream", 2*time.Second, 300*time.Millisecond)
	end("call", 2*time.Second, 20*time.Millisecond)
	check("ended", "stream", 3*time.Second, 700*time.Millisecond)
	check("other kind", "call", 3*time.Second, 20*time.Millisecond)
	s := tracker.Begin("stream", began.Add(3*time.Second))
	check("in progress", "stream", 5*time.Second, 2*time.Second)
	s.End(began.Add(5 * time.Second))
	check("in the next window", "stream", 3*time.Minute, 2*time.Second)
	check("forgotten", "stream", 10*time.Minute, 0)
	var none *spans.Tracker
	none.Begin("stream", began).End(began)
	assert.Equal(t, none.Longest("stream", began), time.Duration(0))
}

// TestKindsUseLimitedMemory guards against a process that runs out of memory, because callers state ever new operations and all of them are remembered.
func TestKindsUseLimitedMemory(t *testing.T) {
	const kinds, limit = 20_000, 4 << 20
	began := time.Unix(1_000, 0)
	var tracker spans.Tracker
	memory := func() int64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return int64(m.HeapAlloc)
	}
	tracker.Begin("call", began).End(began.Add(time.Second))
	before := memory()
	for i := range kinds {
		tracker.Begin(fmt.Sprint(i, strings.Repeat("x", 1000)), began).End(began.Add(2 * time.Second))
	}
	used := memory() - before
	assert.Assert(t, used < limit, "%d bytes", used)
	at := began.Add(3 * time.Second)
	assert.Equal(t, tracker.Longest("call", at), time.Second)
	assert.Equal(t, tracker.Longest(fmt.Sprint(kinds-1, strings.Repeat("x", 1000)), at), 2*time.Second) // not taken for a short one
}
