package node

import (
	"context"
	"errors"
	"io"

	"cranberryrail/core/roster"
	"cranberryrail/core/serve"
	"cranberryrail/io/front"
	"cranberryrail/io/target"
)

// asAttempt returns the failure of the target client in the terms of core/serve.
func asAttempt(err error) error {
	var e *target.Error
	if err == nil || !errors.As(err, &e) {
		return err
	}
	return &serve.AttemptError{Kind: serve.Kind(e.Kind), NotRun: e.NotRun, Err: e}
}

// engineCall returns a call in the terms of the target client.
func engineCall(c serve.Call) target.Call {
	return target.Call{
		RequestID: c.RequestID, Attempt: c.Attempt, Model: c.Model, Version: c.Version, Priority: c.Priority,
		Prompt: c.Prompt, MaxTokens: c.MaxTokens, ResumeFrom: c.ResumeFrom,
	}
}

// open sends a call to an engine and tells opened of it when it was taken.
func open(c *target.Client, opened func(serve.Call)) func(ctx context.Context, addr string, call serve.Call) (serve.Stream, error) {
	return func(ctx context.Context, addr string, call serve.Call) (serve.Stream, error) {
		stream, err := c.Generate(ctx, addr, engineCall(call))
		if err != nil {
			return serve.Stream{}, asAttempt(err)
		}
		opened(call)
		next := func() (serve.Frame, error) {
			f, err := stream.Next()
			if errors.Is(err, io.EOF) {
				return serve.Frame{}, err
			}
			return serve.Frame{
				Position: f.Position, Text: f.Text, Final: f.Final, FinishReason: f.FinishReason,
				PromptTokens: f.PromptTokens, CompletionTokens: f.CompletionTokens,
			}, asAttempt(err)
		}
		return serve.Stream{Next: next, Close: stream.Close}, nil
	}
}

// callService makes one call to a plain service.
func callService(c *target.Client) func(ctx context.Context, t roster.Target, call front.Call) (front.Reply, error) {
	return func(ctx context.Context, t roster.Target, call front.Call) (front.Reply, error) {
		reply, err := c.CallService(ctx, t.Addr, call.Operation, call.Key, call.Header, call.Body)
		if err != nil {
			return front.Reply{}, asAttempt(err)
		}
		return front.Reply{Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: reply.Body}, nil
	}
}
