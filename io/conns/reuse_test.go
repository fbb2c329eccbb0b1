package conns_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestConnectionCarriesAnIDOnce guards against a late second response that is taken for that of another caller's request with the same id: callers choose them.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	s, c := newTarget(t), newClient()
	p := s.serveOne(t, c, "1", "")
	results := startExchange(t, c, s.request("2"))
	assert.Equal(t, p.readRequest(t), "2")
	p.send(t, responseTo("2", "two"))
	assertBody(t, results, "two")
	results = startExchange(t, c, s.request("1"))
	other := s.accept(t)
	_, _ = fmt.Fprint(p, responseTo("1", "one")) // late; the connection may be closed
	p = other
	assert.Equal(t, p.readRequest(t), "1")
	p.send(t, responseTo("1", "three"))
	assertBody(t, results, "three")
}
