//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// answer is what a requester has received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error
	took   time.Duration
}

// request is one requester attempt.
type request struct {
	method, path, id, key, body string
	header                      []string
	limit                       time.Duration
}

const host = "ficu95.example"

// head returns the bytes of the request.
func (r request) bytes() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nCranberryrail-Attempt-Id: %s\r\nAuthorization: Bearer %s\r\n", r.method, r.path, host, r.id, r.key)
	if r.limit > 0 {
		fmt.Fprintf(&b, "Cranberryrail-Request-Deadline: %d\r\n", r.limit.Milliseconds())
	}
	for _, h := range r.header {
		b.WriteString(h + "\r\n")
	}
	if r.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(r.body))
	}
	return b.String() + "\r\n" + r.body
}

// send sends a request on a new channel and waits for its answer, for its time limit and a second at most.
func send(addr string, r request) answer {
	began := time.Now()
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	defer c.Close()
	return sendOn(c, r, began, r.limit+time.Second)
}

// sendOn sends a request on a channel.
func sendOn(c net.Conn, r request, began time.Time, patience time.Duration) answer {
	_ = c.SetDeadline(began.Add(patience))
	if _, err := io.WriteString(c, r.bytes()); err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: r.method})
	if err != nil {
		return answer{err: err, took: time.Since(began)}
	}
	body, err := io.ReadAll(resp.Body)
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, took: time.Since(began)}
}
