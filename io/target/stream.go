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
	"net/http/httptrace"
	"sync"
	"time"
)

const (
	// maxLineBytes is the maximum length of a line of a stream.
	maxLineBytes = 64 << 10
	// initialLineBuffer is the initial size of the line buffer, in bytes.
	initialLineBuffer = 1 << 10
	// drainTimeout is how long Close waits for the end of a complete stream, so that its connection can be reused.
	drainTimeout = 20 * time.Millisecond
)

// Reasons for which a response is complete: the engine ended it, or it has the maximum length.
const (
	finishStop   = "stop"
	finishLength = "length"
)

// Call is one attempt of a request at an engine.
type Call struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Version   string `json:"version"`
	// Priority is 0 to 9; 9 is served first.
	Priority int    `json:"priority"`
	Prompt   string `json:"prompt"`
	// MaxTokens limits the complete response, also if it is resumed.
	MaxTokens int `json:"max_tokens"`
	// ResumeFrom is the position of the first frame.
	ResumeFrom int `json:"resume_from"`
	// MayGiveUp reports whether the call is to end because the engine was silent for a timeout; otherwise the timeout begins again. It is called while
	// Generate or Next waits. If it is nil, the call ends.
	MayGiveUp func() bool `json:"-"`
}

// Frame is one token, or the end of a response.
type Frame struct {
	RequestID string `json:"request_id"`
	Attempt   int    `json:"attempt"`
	// Position is the index of the token in the response, from 0.
	Position int    `json:"position"`
	Text     string `json:"text"`
	// Final marks the end of the response. The fields below are set only in the final frame.
	Final            bool   `json:"final"`
	FinishReason     string `json:"finish_reason"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
}

// Stream is the response to a Call. It is not safe for concurrent use and must be closed with Close.
type Stream struct {
	client       *Client
	addr         string
	call         Call
	ctx          context.Context
	cancel       context.CancelCauseFunc
	timer        *time.Timer
	pool         *http.Transport
	body         io.ReadCloser
	lines        *bufio.Scanner
	nextPosition int
	first        bool
	// reused is set if the connection had carried an earlier call.
	reused bool
	// mu protects timeout, and waiting and expired: whether the engine is waited for, and whether the timeout has passed meanwhile.
	mu               sync.Mutex
	timeout          time.Duration
	waiting, expired bool
	// err is the error that ended the stream: an *Error, or io.EOF after the final frame.
	err error
}

// Generate sends a call to an engine and waits for the header of its response.
func (c *Client) Generate(ctx context.Context, addr string, call Call) (*Stream, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	s := &Stream{
		client: c, addr: addr, call: call, ctx: ctx, cancel: cancel, timeout: c.FirstFrameTimeout, nextPosition: call.ResumeFrom, first: true, waiting: true,
	}
	s.mu.Lock()
	s.timer = time.AfterFunc(s.timeout, s.timeOut)
	s.mu.Unlock()
	defer s.endWait()
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { s.reused = info.Reused }})
	resp, pool, err := c.send(traced, addr, http.MethodPost, "/v1/generate", call) //nolint:bodyclose // release closes it
	if err != nil {
		s.release()
		err.Position = s.nextPosition
		return nil, err
	}
	s.pool, s.body = pool, resp.Body
	if resp.StatusCode != http.StatusOK {
		return nil, s.readRefusal(resp)
	}
	s.lines = bufio.NewScanner(s.body)
	s.lines.Buffer(make([]byte, 0, initialLineBuffer), maxLineBytes)
	return s, nil
}

// readRefusal converts a response that is not a stream to an *Error and ends the stream.
func (s *Stream) readRefusal(resp *http.Response) error {
	data, err := readAll(s.body, maxShortReplyBytes)
	if err != nil {
		return s.fail(kindOf(s.ctx, err), fmt.Errorf("read the response %s: %w", resp.Status, err))
	}
	var body struct {
		Error     string `json:"error"`
		RequestID string `json:"request_id"`
		Attempt   int    `json:"attempt"`
	}
	_ = json.Unmarshal(data, &body)
	named := body.RequestID != ""
	if named && (body.RequestID != s.call.RequestID || body.Attempt != s.call.Attempt) {
		return s.fail(Crossed, fmt.Errorf("received the response %s to request %q attempt %d", resp.Status, body.RequestID, body.Attempt))
	}
	s.release()
	// Without a name, it may be the repeated refusal of an earlier call on the connection.
	e := &Error{Kind: Failed, Addr: s.addr, Position: s.nextPosition, Sent: true, NotRun: named || !s.reused}
	e.Err = fmt.Errorf("the engine returned %s: %q", resp.Status, body.Error)
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
	s.beginWait()
	data, err := s.readEvent()
	s.endWait()
	s.timer.Stop()
	s.first = false
	if err != nil {
		return Frame{}, err
	}
	f, hasText, err := decodeFrame(data)
	if err != nil {
		return Frame{}, s.fail(Failed, fmt.Errorf("decode a frame: %w", err))
	}
	if err := s.checkFrame(f); err != nil {
		return Frame{}, err
	}
	if f.Final {
		s.err = io.EOF
		return f, nil
	}
	if !hasText {
		return Frame{}, s.fail(Failed, errors.New("the frame has neither a text nor the end"))
	}
	s.nextPosition++
	return f, nil
}

// decodeFrame decodes a frame and reports whether it has a text, which may be empty.
func decodeFrame(data []byte) (f Frame, hasText bool, err error) {
	decoded := struct {
		*Frame
		Text *string `json:"text"`
	}{Frame: &f}
	if err := json.Unmarshal(data, &decoded); err != nil {
		return Frame{}, false, err
	}
	if decoded.Text != nil {
		f.Text = *decoded.Text
	}
	return f, decoded.Text != nil, nil
}

// beginWait begins to wait for the next frame. The timeout of the first one began with the call.
func (s *Stream) beginWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = true
	switch {
	case !s.first:
		s.timeout = s.client.FrameTimeout
		s.timer.Reset(s.timeout)
	case s.expired:
		s.timer.Reset(0)
	}
	s.expired = false
}

// endWait ends a wait. MayGiveUp is not called after it.
func (s *Stream) endWait() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting = false
}

// timeOut ends the call after a timeout, unless it is to go on.
func (s *Stream) timeOut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.ctx.Err() != nil:
	case !s.waiting:
		s.expired = true
	case s.call.MayGiveUp == nil || s.call.MayGiveUp():
		s.cancel(errSilent)
	default:
		s.timer.Reset(s.timeout)
	}
}

// readEvent reads up to the blank line that ends an event and returns the data of the event.
func (s *Stream) readEvent() ([]byte, error) {
	var data []byte
	for s.lines.Scan() {
		line := s.lines.Bytes()
		value, isData := bytes.CutPrefix(line, []byte("data:"))
		switch {
		case len(line) == 0 && data != nil:
			return data, nil
		case isData && data != nil:
			return nil, s.fail(Failed, errors.New("an event has more than one data line"))
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
	return nil, s.fail(Truncated, errors.New("the stream ended before the final frame"))
}

// checkFrame verifies that a frame belongs to the call and has the expected position.
func (s *Stream) checkFrame(f Frame) error {
	if f.RequestID != s.call.RequestID || f.Attempt != s.call.Attempt {
		return s.fail(Crossed, fmt.Errorf("received a frame of request %q attempt %d", f.RequestID, f.Attempt))
	}
	if err := s.checkPosition(f.Position); err != nil {
		return err
	}
	if !f.Final {
		if f.Position >= s.call.MaxTokens {
			return s.fail(Failed, fmt.Errorf("the engine sent more than the maximum of %d tokens", s.call.MaxTokens))
		}
		return nil
	}
	if f.PromptTokens < 0 || f.PromptTokens > len(s.call.Prompt) {
		return s.fail(Failed, fmt.Errorf("the engine reported %d prompt tokens for a prompt of %d bytes", f.PromptTokens, len(s.call.Prompt)))
	}
	if err := s.checkPosition(f.CompletionTokens); err != nil {
		return err
	}
	if f.FinishReason != finishStop && f.FinishReason != finishLength {
		return s.fail(Failed, fmt.Errorf("the engine ended the response for the reason %q", f.FinishReason))
	}
	return nil
}

func (s *Stream) checkPosition(got int) error {
	switch {
	case got < s.nextPosition:
		return s.fail(Doubled, fmt.Errorf("received position %d again; expected %d", got, s.nextPosition))
	case got > s.nextPosition:
		return s.fail(Gap, fmt.Errorf("received position %d; expected %d", got, s.nextPosition))
	}
	return nil
}

// fail ends the stream with an error and closes its connection. It retires all connections to the target if the kind of
// failure invalidates them.
func (s *Stream) fail(kind Kind, err error) error {
	s.err = &Error{Kind: kind, Addr: s.addr, Position: s.nextPosition, Sent: true, Err: err}
	s.release()
	if kind.invalidatesConns() {
		s.client.retire(s.addr, s.pool)
	}
	return s.err
}

// Close ends the stream. If the final frame was not received, it closes the connection, which makes the engine stop the
// attempt. It may be called more than once.
func (s *Stream) Close() {
	switch {
	case s.err == nil:
		s.err = &Error{Kind: Cancelled, Addr: s.addr, Position: s.nextPosition, Sent: true, Err: errors.New("the stream was closed before the final frame")}
	case errors.Is(s.err, io.EOF):
		drained := time.AfterFunc(drainTimeout, func() { s.cancel(errSilent) })
		defer drained.Stop()
		_, _ = io.Copy(io.Discard, io.LimitReader(s.body, maxLineBytes))
	}
	s.release()
}

// release stops the timer, closes the body and cancels the context of the stream.
func (s *Stream) release() {
	s.timer.Stop()
	if s.body != nil {
		_ = s.body.Close()
	}
	s.cancel(nil)
}
