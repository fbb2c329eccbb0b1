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

// toAttemptError converts an error of the target client to a *serve.AttemptError. Other errors are returned unchanged.
func toAttemptError(err error) error {
	var e *target.Error
	if err == nil || !errors.As(err, &e) {
		return err
	}
	return &serve.AttemptError{Kind: serve.Kind(e.Kind), NotRun: e.NotRun, Err: e}
}

// toTargetCall converts a call to that of the target client.
func toTargetCall(c serve.Call) target.Call {
	return target.Call{
		RequestID: c.RequestID, Attempt: c.Attempt, Model: c.Model, Version: c.Version, Priority: c.Priority,
		Prompt: c.Prompt, MaxTokens: c.MaxTokens, ResumeFrom: c.ResumeFrom, MayGiveUp: c.MayGiveUp,
	}
}

// newStreamOpener returns a function that sends a call to an engine and calls onOpened when the engine accepted it.
func newStreamOpener(c *target.Client, onOpened func(serve.Call)) func(ctx context.Context, addr string, call serve.Call) (serve.Stream, error) {
	return func(ctx context.Context, addr string, call serve.Call) (serve.Stream, error) {
		stream, err := c.Generate(ctx, addr, toTargetCall(call))
		if err != nil {
			return serve.Stream{}, toAttemptError(err)
		}
		onOpened(call)
		next := func() (serve.Frame, error) {
			f, err := stream.Next()
			if errors.Is(err, io.EOF) {
				return serve.Frame{}, err
			}
			return serve.Frame{
				Position: f.Position, Text: f.Text, Final: f.Final, FinishReason: f.FinishReason,
				PromptTokens: f.PromptTokens, CompletionTokens: f.CompletionTokens,
			}, toAttemptError(err)
		}
		return serve.Stream{Next: next, Close: stream.Close}, nil
	}
}

// newServiceCaller returns a function that makes one call to a plain service.
func newServiceCaller(c *target.Client) func(ctx context.Context, t roster.Target, call front.Call) (front.Reply, error) {
	return func(ctx context.Context, t roster.Target, call front.Call) (front.Reply, error) {
		reply, err := c.CallService(ctx, t.Addr, call.Operation, call.Key, call.Header, call.Body)
		if err != nil {
			return front.Reply{}, toAttemptError(err)
		}
		return front.Reply{Status: reply.Status, ContentType: reply.Header.Get("Content-Type"), Body: reply.Body}, nil
	}
}
