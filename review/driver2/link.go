//go:build review

package main

import (
	"io"
	"net"
	"sync"
	"time"
)

// link is a proxy between an instance and a server, which can be cut.
type link struct {
	listener net.Listener
	to       string

	mu sync.Mutex
	// mode is "" for an open link, "silent" for one that passes nothing on, "reset" for one that resets channels, and "mute" for one on which answers are lost.
	mode  string
	conns map[net.Conn]struct{}
}

// newLink opens a link to an address.
func newLink(to string) *link {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	k := &link{listener: l, to: to, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go k.serve(c)
		}
	}()
	return k
}

func (k *link) addr() string { return k.listener.Addr().String() }

// set changes the mode. Channels that were silent or lost an answer pass nothing on any more, as after a loss of packets that ends with the channel.
func (k *link) set(mode string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.mode = mode
	if mode == "reset" {
		for c := range k.conns {
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}
}

func (k *link) current() string {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.mode
}

func (k *link) serve(c net.Conn) {
	defer c.Close()
	if k.current() == "reset" {
		_ = c.(*net.TCPConn).SetLinger(0)
		return
	}
	s, err := net.Dial("tcp", k.to)
	if err != nil {
		return
	}
	defer s.Close()
	k.mu.Lock()
	k.conns[c] = struct{}{}
	k.mu.Unlock()
	defer func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		delete(k.conns, c)
	}()
	done := make(chan struct{}, 2)
	go k.pass(s, c, "silent", "", done)
	go k.pass(c, s, "silent", "mute", done)
	<-done
}

// pass copies bytes in one direction. Once it is in one of the modes given, it drops what comes, for good.
func (k *link) pass(to io.Writer, from net.Conn, silent, mute string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 64<<10)
	dead := false
	for {
		n, err := from.Read(buffer)
		mode := k.current()
		dead = dead || n > 0 && mode != "" && (mode == silent || mode == mute)
		if n > 0 && !dead {
			if _, werr := to.Write(buffer[:n]); werr != nil {
				return
			}
		}
		if err != nil {
			if dead {
				time.Sleep(10 * time.Second)
			}
			return
		}
	}
}
