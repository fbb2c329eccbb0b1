package conns_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/io/conns"
)

// verified returns a request for the start of a target whose report is "start 1".
func (s *target) verified(id string) *conns.Request {
	r := s.request(id)
	r.Verify = &conns.Verification{URI: "/report", Check: func(status int, body []byte) error {
		if status != http.StatusOK || string(body) != "start 1" {
			return errors.New("another start")
		}
		return nil
	}}
	return r
}

// serveReport replies to the verification of a connection.
func (s *target) serveReport(t *testing.T, reply string) *serverConn {
	t.Helper()
	p := s.accept(t)
	assert.Equal(t, p.readRequest(t), "", "the request came before the verification")
	p.send(t, reply)
	return p
}

const startReport = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nstart 1"

// TestRequestReachesTheExpectedStartOnly guards against requests that another start of a target runs, or that a connection carries which was verified
// for another one; and against a verification for each request.
func TestRequestReachesTheExpectedStartOnly(t *testing.T) {
	t.Run("expected", func(t *testing.T) {
		s, c := newTarget(t), newClient()
		first := startExchange(t, c, s.verified("a"))
		p := s.serveReport(t, startReport)
		for _, id := range []string{"a", "b"} {
			if id == "b" {
				first = startExchange(t, c, s.verified("b"))
			}
			assert.Equal(t, p.readRequest(t), id)
			p.send(t, responseTo(id, id))
			assertBody(t, first, id)
		}
	})
	t.Run("closed after the reply", func(t *testing.T) {
		s, c := newTarget(t), newClient()
		got := startExchange(t, c, s.verified("a"))
		s.serveReport(t, strings.Replace(startReport, "\r\n", "\r\nConnection: close\r\n", 1))
		p := s.serveReport(t, startReport)
		assert.Equal(t, p.readRequest(t), "a")
		p.send(t, responseTo("a", "a"))
		assertBody(t, got, "a")
	})
	for _, tc := range []struct {
		name, reply string
		tries       int
	}{
		{"another start", strings.Replace(startReport, "start 1", "start 2", 1), 1},
		{"failure", strings.Replace(startReport, "200 OK", "500 X", 1), 1},
		{"too long", "HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n" + strings.Repeat("x", 1<<17), 1},
		{"of another request", responseTo("z", "start 1"), 2},
		{"followed by other bytes", startReport + "x", 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s, c := newTarget(t), newClient()
			got := startExchange(t, c, s.verified("a"))
			for range tc.tries {
				p := s.serveReport(t, tc.reply)
				rest, _ := io.ReadAll(p.reader) // until the client closes the connection, or resets it
				assert.Equal(t, string(rest), "")
			}
			assertFailed(t, got, conns.NotSent)
		})
	}
}
