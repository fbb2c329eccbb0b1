package serve_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/codes"
	"cranberryrail/core/memory"
	"cranberryrail/core/poison"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/serve"
)

// totalTokens is the number of tokens of a complete response in these tests.
const totalTokens = 6

// attemptScript is the behaviour of one attempt: it sends frames from the resumed position up to
// sendsUntil, and then fails with kind or, without one, completes the response.
type attemptScript struct {
	sendsUntil int
	kind       serve.Kind
	notRun     bool
	// failsOpen makes Open fail.
	failsOpen bool
	// rawErr is returned by Next in place of an *AttemptError.
	rawErr error
	// wakes makes a silent attempt complete the response, if it may go on that often.
	wakes int
}

// testBench is a Server whose function fields follow scripts and record their calls.
type testBench struct {
	serve.Server
	scripts     []attemptScript
	targets     []roster.Target
	calls       []serve.Call
	addrs       []string
	cancelled   []serve.Call
	leaving     []string
	picks       []route.Request
	outcomes    map[int64]route.Outcome
	retries     int
	relayed     []int
	emitFailsAt int
	onEmit      func()
}

func newTestBench(scripts ...attemptScript) *testBench {
	b := &testBench{scripts: scripts, retries: 100, outcomes: map[int64]route.Outcome{}, emitFailsAt: -1}
	for _, id := range []string{"a", "b"} {
		b.targets = append(b.targets, roster.Target{
			ID: id, Incarnation: id + "/1", Addr: "addr-" + id, Models: []roster.Model{{Model: "m", Version: "7"}},
		})
	}
	b.Pick, b.Open = b.pick, b.open
	b.Crashes, b.HasCrashed = &poison.Tracker{}, func(context.Context, roster.Target) bool { return false }
	b.Crashes.Default()
	b.Done = func(token int64, o route.Outcome) { b.outcomes[token] = o }
	b.Retry = func(string) bool {
		b.retries--
		return b.retries >= 0
	}
	b.Cancel = func(_ string, c serve.Call) { b.cancelled = append(b.cancelled, c) }
	b.OnLeaving = func(incarnation string) { b.leaving = append(b.leaving, incarnation) }
	return b
}

// pick returns the first target that r.Only permits and r.Avoid does not list.
func (b *testBench) pick(r route.Request) (route.Choice, error) {
	b.picks = append(b.picks, r)
	for _, t := range b.targets {
		asked := r.Only == nil || r.Only.ID == t.ID && r.Only.Incarnation == t.Incarnation
		avoided := false
		for _, id := range r.Avoid {
			avoided = avoided || id == t.ID
		}
		if asked && !avoided {
			return route.Choice{Target: t, DispatchID: int64(len(b.picks))}, nil
		}
	}
	return route.Choice{}, codes.Refuse(codes.NoTarget, route.NoTargetRetryAfter, "none")
}

func (b *testBench) open(_ context.Context, addr string, c serve.Call) (serve.Stream, error) {
	s := b.scripts[min(len(b.calls), len(b.scripts)-1)]
	b.calls = append(b.calls, c)
	b.addrs = append(b.addrs, addr)
	fail := s.rawErr
	if fail == nil {
		fail = &serve.AttemptError{Kind: s.kind, NotRun: s.notRun, Err: io.ErrUnexpectedEOF}
	}
	if s.failsOpen {
		return serve.Stream{}, fail
	}
	next := c.ResumeFrom
	return serve.Stream{Close: func() {}, Next: func() (serve.Frame, error) {
		f := serve.Frame{Position: next}
		switch {
		case next < s.sendsUntil || s.kind == "" && s.rawErr == nil && next < totalTokens:
			next++
			return f, nil
		case s.kind == "" && s.rawErr == nil:
			f.Final, f.FinishReason, f.PromptTokens, f.CompletionTokens = true, "stop", 3, totalTokens
			return f, nil
		}
		for goesOn := 0; s.wakes > 0 && !c.MayGiveUp(); {
			if goesOn++; goesOn == s.wakes {
				s.sendsUntil, s.kind = totalTokens, ""
				next++
				return f, nil
			}
		}
		return serve.Frame{}, fail
	}}, nil
}

func (b *testBench) generate(ctx context.Context) (serve.Usage, error) {
	return b.Generate(ctx, serve.Request{Call: serve.Call{RequestID: "r", Attempt: 40, Model: "m"}}, func(f serve.Frame) error {
		if len(b.relayed) == b.emitFailsAt {
			return errors.New("gone")
		}
		if !f.Final {
			b.relayed = append(b.relayed, f.Position)
		}
		if b.onEmit != nil {
			b.onEmit()
		}
		return nil
	})
}

// assertRelayed checks that the caller received each position below n once and in order.
func assertRelayed(t *testing.T, b *testBench, n int) {
	t.Helper()
	assert.Equal(t, len(b.relayed), n)
	for i, position := range b.relayed {
		assert.Equal(t, position, i)
	}
}

// assertDone checks that Done reported the wanted outcome of every choice.
func assertDone(t *testing.T, b *testBench, want ...route.Outcome) {
	t.Helper()
	assert.Equal(t, len(b.outcomes), len(want))
	for i, o := range want {
		assert.Equal(t, b.outcomes[int64(i+1)], o)
	}
}

func assertEnd(t *testing.T, err error, code codes.Code, run codes.Run) {
	t.Helper()
	var e *codes.Error
	assert.Assert(t, errors.As(err, &e), "%v", err)
	assert.Equal(t, e.Code, code, e.Error())
	assert.Equal(t, e.Run, run)
}

// TestResumeAtSameEngine checks that a stream that breaks after its first token continues at the next token, without
// repeated or missing tokens.
func TestResumeAtSameEngine(t *testing.T) {
	for _, kind := range []serve.Kind{serve.Silent, serve.Crossed, "truncated", "gap", "doubled", "failed"} {
		t.Run(string(kind), func(t *testing.T) {
			b := newTestBench(attemptScript{sendsUntil: 2, kind: kind}, attemptScript{sendsUntil: 4, kind: kind}, attemptScript{})
			u, err := b.generate(context.Background())
			assert.NilError(t, err)
			assertRelayed(t, b, totalTokens)
			assert.Equal(t, u, serve.Usage{PromptTokens: 3, CompletionTokens: totalTokens, FinishReason: "stop", Attempts: 3, Target: "a"})
			assert.DeepEqual(t, b.addrs, []string{"addr-a", "addr-a", "addr-a"})
			assert.DeepEqual(t, []int{b.calls[1].ResumeFrom, b.calls[2].ResumeFrom}, []int{2, 4})
			assert.Equal(t, b.calls[2].Attempt, 42)
			assert.Equal(t, b.calls[2].Version, "7")
			assert.Equal(t, len(b.cancelled), 2)
			want := (&serve.AttemptError{Kind: kind}).Outcome()
			assertDone(t, b, want, want, route.OK)
		})
	}
}

// TestResumeAmongTargetsWithCommonIDPrefix guards against resuming at a target whose id only starts with the id of the
// engine that has the stream.
func TestResumeAmongTargetsWithCommonIDPrefix(t *testing.T) {
	b := newTestBench(attemptScript{sendsUntil: 2, kind: "truncated"}, attemptScript{})
	first := b.targets
	b.onEmit = func() { b.targets = append([]roster.Target{{ID: "a1"}, {ID: "a2"}}, first...) }
	_, err := b.generate(context.Background())
	assert.NilError(t, err)
	assertRelayed(t, b, totalTokens)
	assert.DeepEqual(t, b.addrs, []string{"addr-a", "addr-a"})
	assertDone(t, b, route.Failed, route.OK)
}

func TestRetryAtAnotherEngineBeforeFirstToken(t *testing.T) {
	for _, s := range []attemptScript{
		{kind: serve.Silent}, {kind: serve.Silent, failsOpen: true}, {kind: serve.Crossed}, {kind: "truncated"},
		{kind: serve.Refused, notRun: true, failsOpen: true}, {kind: serve.Full, notRun: true, failsOpen: true}, {rawErr: io.EOF},
	} {
		t.Run(string(s.kind), func(t *testing.T) {
			b := newTestBench(s, attemptScript{})
			u, err := b.generate(context.Background())
			assert.NilError(t, err)
			assertRelayed(t, b, totalTokens)
			assert.DeepEqual(t, b.addrs, []string{"addr-a", "addr-b"})
			assert.Equal(t, b.calls[1].ResumeFrom, 0)
			assert.Equal(t, u.Tokens(), int64(totalTokens+3))
			assert.Equal(t, len(b.cancelled) == 0, s.notRun, "an attempt that may be running is cancelled at the engine")
		})
	}
}

func TestPermanentResumeFailureEndsRequest(t *testing.T) {
	for _, s := range []attemptScript{
		{kind: serve.Silent}, {kind: serve.Silent, failsOpen: true}, {kind: serve.Refused, notRun: true, failsOpen: true},
		{kind: serve.Leaving, notRun: true, failsOpen: true}, {kind: serve.UnknownModel, notRun: true, failsOpen: true},
		{kind: serve.Full, notRun: true, failsOpen: true},
	} {
		t.Run(string(s.kind), func(t *testing.T) {
			b := newTestBench(attemptScript{sendsUntil: 2, kind: "truncated"}, s)
			u, err := b.generate(context.Background())
			assertEnd(t, err, codes.AnswerCut, codes.Ran)
			assertRelayed(t, b, 2)
			assert.Equal(t, u.Attempts, 2)
			assert.Equal(t, u.Tokens(), int64(2))
		})
	}
	t.Run("the engine is gone or leaving", func(t *testing.T) {
		b := newTestBench(attemptScript{sendsUntil: 2, kind: "truncated"})
		b.onEmit = func() { b.targets = b.targets[:0] }
		_, err := b.generate(context.Background())
		assertEnd(t, err, codes.AnswerCut, codes.Ran)
		assert.Equal(t, len(b.calls), 1)
	})
	t.Run("the engine was replaced", func(t *testing.T) {
		b := newTestBench(attemptScript{sendsUntil: 2, kind: "truncated"})
		b.onEmit = func() { b.targets[0].Incarnation = "a/2" }
		_, err := b.generate(context.Background())
		assertEnd(t, err, codes.AnswerCut, codes.Ran)
		assert.Equal(t, len(b.calls), 1)
		assertDone(t, b, route.Failed)
	})
}

// TestSilentTargetIsNotGivenUpForNothing guards against an answer that ends because its target was silent, although that target alone can complete it.
func TestSilentTargetIsNotGivenUpForNothing(t *testing.T) {
	goesOn := attemptScript{sendsUntil: 2, kind: serve.Silent, wakes: 2}
	for name, change := range map[string]func(b *testBench){
		"no retry is left":         func(b *testBench) { b.retries = 0 },
		"its engine is leaving":    func(b *testBench) { b.onEmit = func() { b.targets = nil } },
		"a resume is silent too":   func(b *testBench) { b.scripts = []attemptScript{{sendsUntil: 2, kind: "truncated"}, goesOn} },
		"no answer, and no target": func(b *testBench) { b.targets, b.scripts[0].sendsUntil = b.targets[:1], 0; b.retries = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestBench(goesOn)
			change(b)
			_, err := b.generate(t.Context())
			assert.NilError(t, err)
			assertRelayed(t, b, totalTokens)
		})
	}
	t.Run("but when another attempt is admitted", func(t *testing.T) {
		b := newTestBench(attemptScript{kind: serve.Silent, wakes: 1}, attemptScript{})
		_, err := b.generate(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, b.addrs, []string{"addr-a", "addr-b"})
		assertDone(t, b, route.Silent, route.OK)
	})
	t.Run("and after the time of all attempts", func(t *testing.T) {
		b := newTestBench(attemptScript{sendsUntil: 2, kind: serve.Silent, wakes: serve.MaxAttempts})
		b.retries = 0
		_, err := b.generate(t.Context())
		assertEnd(t, err, codes.AnswerCut, codes.Ran)
	})
}

func TestAttemptsAreBounded(t *testing.T) {
	t.Run("by their number", func(t *testing.T) {
		b := newTestBench(attemptScript{kind: serve.Silent})
		b.targets = []roster.Target{{ID: "a"}, {ID: "b"}, {ID: "c"}, {ID: "d"}, {ID: "e"}}
		u, err := b.generate(context.Background())
		assertEnd(t, err, codes.TargetSilent, codes.Unknown)
		assert.Equal(t, u.Attempts, serve.MaxAttempts)
		assert.Equal(t, u.Tokens(), int64(0))
	})
	t.Run("by their number at one engine", func(t *testing.T) {
		b := newTestBench(attemptScript{sendsUntil: 2, kind: serve.Crossed})
		u, err := b.generate(context.Background())
		assertEnd(t, err, codes.AnswerCut, codes.Ran)
		assert.Equal(t, u.Attempts, serve.MaxAttempts)
		assertRelayed(t, b, 2)
	})
	t.Run("by the retry budget", func(t *testing.T) {
		b := newTestBench(attemptScript{kind: serve.Full, notRun: true, failsOpen: true})
		b.retries = 1
		u, err := b.generate(context.Background())
		assertEnd(t, err, codes.Overloaded, codes.NotRun)
		assert.Equal(t, u.Attempts, 2)
	})
	t.Run("by the remaining targets", func(t *testing.T) {
		b := newTestBench(attemptScript{kind: serve.Leaving, notRun: true, failsOpen: true})
		_, err := b.generate(context.Background())
		assertEnd(t, err, codes.NoTarget, codes.NotRun)
		assert.DeepEqual(t, b.leaving, []string{"a/1", "b/1"})
	})
}

// TestStatusIsNoPromiseAfterUnknownAttempt guards against a status that stands for "not run" after an attempt that may have run.
func TestStatusIsNoPromiseAfterUnknownAttempt(t *testing.T) {
	for last, retries := range map[serve.Kind]int{serve.Full: 1, serve.Leaving: 2} {
		t.Run(string(last), func(t *testing.T) {
			refused := attemptScript{kind: last, notRun: true, failsOpen: true}
			b := newTestBench(attemptScript{kind: serve.Silent}, refused, refused)
			b.retries = retries
			_, err := b.generate(context.Background())
			assertEnd(t, err, codes.TargetFailed, codes.Unknown)
		})
	}
}

// TestCallerDisconnects guards against an engine that continues after its caller disconnected.
func TestCallerDisconnects(t *testing.T) {
	t.Run("detected by a write", func(t *testing.T) {
		b := newTestBench(attemptScript{})
		b.emitFailsAt = 3
		u, err := b.generate(context.Background())
		assertEnd(t, err, codes.AnswerCut, codes.Ran)
		assert.Equal(t, u.Tokens(), int64(4), "the token in flight is billed")
		assert.Equal(t, len(b.cancelled), 1)
		assertDone(t, b, route.Cancelled)
	})
	t.Run("detected by the context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := newTestBench(attemptScript{sendsUntil: 2, kind: serve.Cancelled})
		b.onEmit = cancel
		u, err := b.generate(ctx)
		assertEnd(t, err, codes.AnswerCut, codes.Ran)
		assert.Equal(t, u.Tokens(), int64(2))
		assert.Equal(t, len(b.cancelled), 1)
		assertDone(t, b, route.Cancelled)
	})
}

// TestRequestThatCrashesTargets guards against a request that crashes target after target by its retries, and by requests like it.
func TestRequestThatCrashesTargets(t *testing.T) {
	b := newTestBench(attemptScript{kind: "truncated"})
	for _, id := range []string{"c", "d", "e", "f", "g", "h"} {
		b.targets = append(b.targets, roster.Target{ID: id, Incarnation: id + "/1", Addr: "addr-" + id})
	}
	b.HasCrashed = func(_ context.Context, t roster.Target) bool {
		b.targets = slices.DeleteFunc(b.targets, func(crashed roster.Target) bool { return crashed.ID == t.ID })
		return true
	}
	_, err := b.generate(t.Context())
	assertEnd(t, err, codes.TargetFailed, codes.Unknown)
	_, err = b.generate(t.Context())
	assertEnd(t, err, codes.CrashesTargets, codes.NotRun)
	assert.Equal(t, len(b.calls), poison.DefaultLimit)
}

// TestCrashesAreOptional guards against a panic where a Server is used without a tracker, as by programs that embed it.
func TestCrashesAreOptional(t *testing.T) {
	b := newTestBench(attemptScript{kind: "truncated"}, attemptScript{})
	b.Crashes, b.HasCrashed = nil, nil
	_, err := b.generate(t.Context())
	assert.NilError(t, err)
	assertRelayed(t, b, totalTokens)
}

// TestMemoryIsNoFailureOfAService guards against a service that is left out since its replies end for those of others, which use up the memory.
func TestMemoryIsNoFailureOfAService(t *testing.T) {
	failed := serve.AsAttemptError(&serve.AttemptError{Kind: "failed", Err: fmt.Errorf("call: %w", memory.ErrUsedUp)})
	assert.Equal(t, failed.Outcome(), route.UsedUp)
}
