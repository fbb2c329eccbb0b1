package conns_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/io/conns"
)

// TestBodyOfAnotherResponseIsNoResponse guards against a late second response whose end is not known, because it belongs to a request of another method, so that
// its body is taken for the response to the next request.
func TestBodyOfAnotherResponseIsNoResponse(t *testing.T) {
	inner := responseTo("2", "in")
	late := responseTo("1", inner)
	head := func(r *conns.Request) *conns.Request {
		r.Method = http.MethodHead
		return r
	}
	t.Run("late response to GET", func(t *testing.T) {
		s, c := newTarget(t), newClient()
		p := s.serveOne(t, c, "1", "")
		results := startExchange(t, c, head(s.request("2")))
		assert.Equal(t, p.readRequest(t), "2")
		p.send(t, late)
		assertFailed(t, results, conns.Waiting)
	})
	t.Run("late response to HEAD", func(t *testing.T) {
		s, c := newTarget(t), newClient()
		results := startExchange(t, c, head(s.request("1")))
		p := s.accept(t)
		assert.Equal(t, p.readRequest(t), "1")
		p.send(t, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 9\r\n\r\n")
		assertBody(t, results, "")
		results = startExchange(t, c, s.request("2"))
		p = s.accept(t) // a connection that carried HEAD is not used again
		assert.Equal(t, p.readRequest(t), "2")
		p.send(t, responseTo("2", "two"))
		assertBody(t, results, "two")
	})
}
