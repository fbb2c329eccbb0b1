package spans_test

import (
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
