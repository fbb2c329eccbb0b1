package target

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// maxLine is the longest line of a stream, in bytes.
	maxLine = 64 << 10
	// firstLineBuffer is the size with which the line buffer starts, in bytes.
	firstLineBuffer = 1 << 10
	// drainTimeout is how long Close waits for the end of a whole stream, so that its connection is kept.
	drainTimeout = 20 * time.Millisecond
)

// Call is one attempt of a request at an engine.
type Call struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	// Priority is 0 to 9, 9 first.
	Priority int    `json:"priority"`
	Prompt   string `json:"prompt"`
	// MaxTokens bounds the whole answer, also when it is resumed.
	MaxTokens int `json:"max_tokens"`
	// ResumeFrom is the position of the first frame.
	ResumeFrom int `json:"resume_from"`
}

// Frame is one token or the end of an answer.
type Frame struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Position counts the tokens of the answer from 0.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Final marks the end of the answer; the fields below are set with it only.
	Final            bool   `json:"final"`
	FinishReason     string `json:"finish_reason"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

// Stream is the answer to a Call. One goroutine uses it, and ends it with Close.
type Stream struct {
	client *Client
	addr   string
	call   Call
	ctx    context.Context
	cancel context.CancelCauseFunc
	timer  *time.Timer
	pool   *http.Transport
	body   io.ReadCloser
	lines  *bufio.Scanner
	next   int
	first  bool
	// err is what ended the stream: an *Error, or io.EOF after the final frame.
	err error
}

// Generate sends a call to an engine and waits for the start of its answer.
func (c *Client) Generate(ctx context.Context, addr string, call Call) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(c.FirstFrameTimeout, func() { cancel(errSilent) })
	s := &Stream{
		client: c, addr: addr, call: call, ctx: ctx, cancel: cancel, timer: timer, next: call.ResumeFrom, first: true,
	}
	resp, pool, err := c.send(ctx, addr, http.MethodPost, "/v1/generate", call) //nolint:bodyclose // release closes it
	if err != nil {
		s.release()
		err.Position = s.next
		return nil, err
	}
	s.pool, s.body = pool, resp.Body
	if resp.StatusCode != http.StatusOK {
		return nil, s.refusal(resp)
	}
	s.lines = bufio.NewScanner(s.body)
	s.lines.Buffer(make([]byte, 0, firstLineBuffer), maxLine)
	return s, nil
}

// refusal reads an answer that is not a stream and ends the stream.
func (s *Stream) refusal(resp *http.Response) error {
	data, err := readAll(s.body, maxShortReply)
	if err != nil {
		return s.fail(kindOf(s.ctx, err), fmt.Errorf("read the answer %s: %w", resp.Status, err))
	}
	var body struct {
		Error string `json:"error"`
	}
	_ = json.Unmarshal(data, &body)
	s.release()
	e := &Error{Kind: Failed, Addr: s.addr, Position: s.next, Sent: true, NotRun: true}
	e.Err = fmt.Errorf("the engine answered %s: %q", resp.Status, body.Error)
	switch {
	case resp.StatusCode == http.StatusTooManyRequests:
		e.Kind = Full
	case resp.StatusCode == http.StatusNotFound:
		e.Kind = UnknownModel
	case resp.StatusCode == http.StatusServiceUnavailable && body.Error == string(Leaving):
		e.Kind = Leaving
	default:
		e.NotRun = false
	}
	return e
}

// Next returns the next frame of the call, io.EOF after the final one, or an *Error.
func (s *Stream) Next() (Frame, error) {
	if s.err != nil {
		return Frame{}, s.err
	}
	if !s.first {
		s.timer.Reset(s.client.FrameTimeout)
	}
	data, err := s.event()
	s.timer.Stop()
	s.first = false
	if err != nil {
		return Frame{}, err
	}
	var f Frame
	if err := json.Unmarshal(data, &f); err != nil {
		return Frame{}, s.fail(Failed, fmt.Errorf("decode a frame: %w", err))
	}
	if err := s.check(f); err != nil {
		return Frame{}, err
	}
	if f.Final {
		s.err = io.EOF
		return f, nil
	}
	s.next++
	return f, nil
}

// event reads up to the blank line that ends an event and returns its data.
func (s *Stream) event() ([]byte, error) {
	var data []byte
	for s.lines.Scan() {
		line := s.lines.Bytes()
		value, isData := bytes.CutPrefix(line, []byte("data:"))
		switch {
		case len(line) == 0 && data != nil:
			return data, nil
		case isData && data != nil:
			return nil, s.fail(Failed, errors.New("an event has two data lines"))
		case isData:
			data = append([]byte{}, value...)
		}
	}
	if err := s.lines.Err(); err != nil {
		return nil, s.fail(kindOf(s.ctx, err), fmt.Errorf("read the stream: %w", err))
	}
	if s.ctx.Err() != nil {
		return nil, s.fail(kindOf(s.ctx, nil), context.Cause(s.ctx))
	}
	return nil, s.fail(Truncated, errors.New("the stream ended before its final frame"))
}

// check holds a frame against the call and the position reached.
func (s *Stream) check(f Frame) error {
	if f.RequestID != s.call.RequestID || f.Attempt != s.call.Attempt {
		return s.fail(Crossed, fmt.Errorf("a frame belongs to request %q attempt %d", f.RequestID, f.Attempt))
	}
	if err := s.checkPosition(f.Position); err != nil {
		return err
	}
	if !f.Final {
		if f.Position >= s.call.MaxTokens {
			return s.fail(Failed, fmt.Errorf("the engine sent more than %d tokens", s.call.MaxTokens))
		}
		return nil
	}
	if f.PromptTokens < 0 || f.PromptTokens > len(s.call.Prompt) {
		return s.fail(Failed, fmt.Errorf("%d prompt tokens for a prompt of %d bytes", f.PromptTokens, len(s.call.Prompt)))
	}
	return s.checkPosition(f.CompletionTokens)
}

func (s *Stream) checkPosition(got int) error {
	switch {
	case got < s.next:
		return s.fail(Doubled, fmt.Errorf("position %d came again; %d was due", got, s.next))
	case got > s.next:
		return s.fail(Gap, fmt.Errorf("position %d came; %d was due", got, s.next))
	}
	return nil
}

// fail ends the stream with an error and gives up its connection.
func (s *Stream) fail(kind Kind, err error) error {
	s.err = &Error{Kind: kind, Addr: s.addr, Position: s.next, Sent: true, Err: err}
	s.release()
	if kind.breaksConn() {
		s.client.retire(s.addr, s.pool)
	}
	return s.err
}

// Close ends the stream. Closing before the final frame closes the connection, which makes the
// engine stop. It may be called more than once.
func (s *Stream) Close() {
	switch {
	case s.err == nil:
		s.err = &Error{Kind: Cancelled, Addr: s.addr, Position: s.next, Sent: true, Err: errors.New("the stream was closed")}
	case errors.Is(s.err, io.EOF):
		s.timer.Reset(drainTimeout)
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxLine))
	}
	s.release()
}

// release frees what the stream holds.
func (s *Stream) release() {
	s.timer.Stop()
	if s.body != nil {
		_ = s.body.Close()
	}
	s.cancel(nil)
}
