// Package wire provides test doubles of targets that send prepared bytes, which may end anywhere.
package wire

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"

	"golang.org/x/sync/errgroup"
)

// Network is a network of targets that send prepared bytes, for clients whose connections a function opens.
type Network struct {
	// Answer returns what a target sends once it has read a request, and how its connection ends then.
	Answer func(r *http.Request) (text string, end End)

	group errgroup.Group
}

// String returns the name of the test double for logs.
func (w *Network) String() string { return "test double of a network of targets" }

// End is how a connection ends.
type End string

// Ends of connections.
const (
	// Kept means that the connection stays open for further requests.
	Kept End = "kept"
	// Closed means that the connection is closed in order.
	Closed End = "closed"
	// Reset means that the connection is reset after what was sent has been read.
	Reset End = "reset"
)

// Dial opens a connection to a target.
func (w *Network) Dial(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	c := &wireConn{Conn: near, end: make(chan End, 1)}
	w.group.Go(func() error {
		w.serve(far, c.end)
		return nil
	})
	return c, nil
}

func (w *Network) serve(c net.Conn, ended chan<- End) {
	end := Closed
	defer func() {
		ended <- end
		_ = c.Close() // fails only if the client has closed it
	}()
	for requests := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(requests)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		text, next := w.Answer(r)
		if _, err := io.WriteString(c, text); err != nil || next != Kept {
			end = next
			return
		}
	}
}

// wireConn is the client's end of a connection.
type wireConn struct {
	net.Conn

	end chan End
}

// Read implements net.Conn.
func (c *wireConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	end := <-c.end
	c.end <- end
	if end == Reset {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Framing is how the end of a response is found.
type Framing string

// Framings.
const (
	// Framed means that a length or chunks show the end.
	Framed Framing = "framed"
	// Unframed means that the response ends with its connection.
	Unframed Framing = "unframed"
	// Contradictory means that the head is no valid one, so that no body is whole.
	Contradictory Framing = "contradictory"
)

// EndOf returns how a connection ends that is reset or not.
func EndOf(reset bool) End {
	if reset {
		return Reset
	}
	return Closed
}

// Answer is a response as bytes.
type Answer struct {
	Name       string
	head, sent string
	framing    Framing
	body       string
}

// Len returns the number of bytes of a response.
func (a Answer) Len() int { return len(a.head) + len(a.sent) }

// Cut returns the first n bytes of a response.
func (a Answer) Cut(n int) string { return (a.head + a.sent)[:n] }

// Cuts returns where to cut a response: at every byte, or at some of a long one.
func (a Answer) Cuts() []int {
	const every, step = 150, 997
	var cuts []int
	for n := range a.Len() + 1 {
		if n < every || n > a.Len()-every || n%step == 0 {
			cuts = append(cuts, n)
		}
	}
	return cuts
}

// Answers returns responses with status 200, some lines of the head and a body, one for each way to frame it.
func Answers(lines, body string) []Answer {
	head := func(version string, more ...string) string {
		return version + " 200 OK\r\n" + lines + strings.Join(append(more, "", ""), "\r\n")
	}
	length := fmt.Sprintf("Content-Length: %d", len(body))
	half := len(body) / 2
	chunks := fmt.Sprintf("%x\r\n%s\r\n%x;x=y\r\n%s\r\n0\r\n", half, body[:half], len(body)-half, body[half:])
	const v1, v0, chunked, closing = "HTTP/1.1", "HTTP/1.0", "Transfer-Encoding: chunked", "Connection: close"
	long := strings.Repeat("X-Long: "+strings.Repeat("x", 1000)+"\r\n", 60)
	return []Answer{
		{"a length", head(v1, length), body, Framed, body},
		{"a length, closing", head(v1, closing, length), body, Framed, body},
		{"a length twice", head(v1, length, length), body, Framed, body},
		{"a length, HTTP/1.0", head(v0, length), body, Framed, body},
		{"a length, HTTP/1.0, kept", head(v0, "Connection: keep-alive", length), body, Framed, body},
		{"chunks", head(v1, chunked), chunks + "\r\n", Framed, body},
		{"chunks and a trailer", head(v1, chunked, "Trailer: X-End"), chunks + "X-End: z\r\n\r\n", Framed, body},
		{"chunks and a length", head(v1, "Content-Length: 3", chunked), chunks + "\r\n", Framed, body},
		{"after interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n" + head(v1, length), body, Framed, body},
		{"a folded header", head(v1, "X-Folded: a", "  b", length), body, Framed, body},
		{"lines that end with LF", strings.ReplaceAll(head(v1, length), "\r\n", "\n"), body, Framed, body},
		{"odd white space", strings.Replace(head(v1, "X-Odd: \t a  ", "Content-Length:  \t"+fmt.Sprint(len(body))+" "), " OK", " ", 1), body, Framed, body},
		{"a long reason", strings.Replace(head(v1, length), "OK", strings.Repeat("reason ", 1000), 1), body, Framed, body},
		{"a long head", head(v1, long+length), body, Framed, body},
		{"to its end", head(v1), body, Unframed, body},
		{"to its end, closing", head(v1, closing), body, Unframed, body},
		{"to its end, HTTP/1.0", head(v0), body, Unframed, body},
		{"two lengths", head(v1, length, "Content-Length: 3"), body, Contradictory, body},
		{"no length", head(v1, "Content-Length: x"), body, Contradictory, body},
		{"chunks, HTTP/1.0", head(v0, chunked), chunks + "\r\n", Contradictory, body},
		{"unknown coding", head(v1, "Transfer-Encoding: x"), body, Contradictory, body},
	}
}

// Whole reports whether the first n bytes of a response are whole if its connection ends then, and returns their body.
func (a Answer) Whole(n int, end End) (body string, whole bool) {
	switch a.framing {
	case Framed:
		return a.body, n == a.Len()
	case Unframed:
		return a.Cut(n)[min(n, len(a.head)):], n >= len(a.head) && end == Closed
	default:
		return "", false
	}
}
