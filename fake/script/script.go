// Package script provides test doubles of targets that follow a script: when they are silent, and what they send. They need no network and run in virtual
// time.
package script

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
)

// Dispatch sends a request to a target, like the field of relay.Server.
type Dispatch func(ctx context.Context, d relay.Dispatch) (*relay.Response, error)

// Stream is the script of a target that answers with a stream of events with ids from 1: after the time to its head it refuses the request, or sends the
// parts of the stream.
type Stream struct {
	Refuse bool
	Head   time.Duration
	Parts  []Part
}

// Part is a silence, and the last event that follows it; 0 ends the stream.
type Part struct {
	Silence time.Duration
	Until   int
}

// End ends a stream.
var End = Part{}

// Until returns a part that ends with an event.
func Until(silence time.Duration, event int) Part { return Part{silence, event} }

// EventText returns the text of an event.
func EventText(i int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i) }

// wait waits for a time. The error is that of an exchange whose connection was closed because the context ended.
func wait(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: errors.New("the context ended")}
	}
}

// silent returns the error of a target that was silent for a time limit, after it has passed.
func silent(ctx context.Context, limit time.Duration) error {
	if err := wait(ctx, limit); err != nil {
		return err
	}
	return &relay.AttemptError{Kind: relay.Silent, Sent: true}
}

// Dispatch plays the script. A stream that is resumed goes on after the event that the request names.
func (s Stream) Dispatch(ctx context.Context, d relay.Dispatch) (*relay.Response, error) {
	if s.Head > d.HeaderTimeout {
		return nil, silent(ctx, d.HeaderTimeout)
	}
	if err := wait(ctx, s.Head); err != nil {
		return nil, err
	}
	if s.Refuse {
		return &relay.Response{Status: http.StatusServiceUnavailable, ResponseHead: relay.ResponseHead{NotRun: true}, SetReadTimeout: func(time.Duration) {}, Close: func() {}}, nil
	}
	play := &play{parts: s.Parts, left: -1}
	_, _ = fmt.Sscan(d.LastEventID, &play.sent) // 0 without one
	return &relay.Response{
		Status: http.StatusOK, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: true}, Close: func() {},
		SetReadTimeout: func(t time.Duration) { play.timeout = t }, Read: func(b []byte) (int, error) { return play.read(ctx, b) },
	}, nil
}

// Forwarded plays the script as the reply of another instance that has chosen a target. Its time limit, unlike that of a read from a target, runs on
// while nothing is read.
func (s Stream) Forwarded(ctx context.Context, d relay.Dispatch, target roster.Target) (*relay.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	timer := time.AfterFunc(d.HeaderTimeout, cancel)
	response, err := s.Dispatch(ctx, d)
	if err != nil {
		cancel()
		return nil, err
	}
	setReadTimeout := response.SetReadTimeout
	response.Target, response.Close = &target, cancel
	response.SetReadTimeout = func(t time.Duration) {
		setReadTimeout(t)
		timer.Reset(t)
	}
	return response, nil
}

// play is a stream that is played.
type play struct {
	parts []Part
	// sent is the last event that was sent, and text what is left of the present part.
	sent int
	text string
	// left is what is left of the silence of the next part, below 0 before it begins, and timeout the limit of a read.
	left, timeout time.Duration
}

func (p *play) read(ctx context.Context, b []byte) (int, error) {
	for p.text == "" {
		if p.left < 0 {
			p.left = p.parts[0].Silence
		}
		if p.left > p.timeout {
			p.left -= p.timeout
			return 0, silent(ctx, p.timeout)
		}
		if err := wait(ctx, p.left); err != nil {
			return 0, err
		}
		if p.parts[0].Until == 0 {
			return 0, io.EOF
		}
		for p.sent < p.parts[0].Until {
			p.sent++
			p.text += EventText(p.sent)
		}
		p.parts, p.left = p.parts[1:], -1
	}
	n := copy(b, p.text)
	p.text = p.text[n:]
	return n, nil
}

// Plain returns a target with a response that is no stream, whose head and body take the given times.
func Plain(status int, text string, head, body time.Duration) Dispatch {
	return func(ctx context.Context, _ relay.Dispatch) (*relay.Response, error) {
		if err := wait(ctx, head); err != nil {
			return nil, err
		}
		return &relay.Response{
			Status: status, ResponseHead: relay.ResponseHead{HasSignature: true}, Close: func() {}, SetReadTimeout: func(time.Duration) {},
			Read: func(p []byte) (int, error) {
				if err := wait(ctx, body); err != nil {
					return 0, err
				}
				return copy(p, text), io.EOF
			},
		}, nil
	}
}

// Stalled returns a target with a response, a stream or none, that sends a text and then nothing.
func Stalled(status int, stream bool, text string) Dispatch {
	return func(ctx context.Context, _ relay.Dispatch) (*relay.Response, error) {
		left := strings.NewReader(text)
		return &relay.Response{
			Status: status, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: stream}, Close: func() {}, SetReadTimeout: func(time.Duration) {},
			Read: func(p []byte) (int, error) {
				if left.Len() > 0 {
					return left.Read(p)
				}
				<-ctx.Done()
				return 0, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: ctx.Err()}
			},
		}, nil
	}
}

// Read returns a function that reads a text in pieces of n bytes, and then returns an error.
func Read(text string, n int, end error) func(p []byte) (int, error) {
	left := strings.NewReader(text)
	return func(p []byte) (int, error) {
		if left.Len() == 0 {
			return 0, end
		}
		return left.Read(p[:min(n, len(p))])
	}
}

// EventStream returns a response with an event stream, which is read in pieces of n bytes.
func EventStream(text string, n int, end error) relay.Response {
	return relay.Response{Status: http.StatusOK, ResponseHead: relay.ResponseHead{IsEventStream: true}, Read: Read(text, n, end)}
}
