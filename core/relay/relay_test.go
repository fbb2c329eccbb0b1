package relay_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"
	"weak"

	"gotest.tools/v3/assert"

	"cranberryrail/core/budget"
	"cranberryrail/core/codes"
	"cranberryrail/core/cost"
	"cranberryrail/core/poison"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
)

const objective = 400 * time.Millisecond

// fixture relays requests of one organisation to one target.
type fixture struct {
	relay.Server
	outcomes []route.Outcome
	spent    int64
}

func newFixture(dispatch func(ctx context.Context, d relay.Dispatch) (*relay.Response, error)) *fixture {
	f := &fixture{}
	config := table.New(table.Config{
		Routes:        []table.Route{{Name: "r", Host: "h", Prefix: "/", Kind: table.Streaming, LatencyObjective: objective, MaxAttempts: 1, Shares: []table.Share{{Service: "draft", Weight: 1}}}},
		Services:      []table.Service{{Name: "draft", EventTokens: 5}},
		Organisations: []table.Organisation{{Name: "travel", Keys: []string{"key"}, Prepaid: 1000}},
	})
	f.Server = relay.Server{
		Table: func() *table.Table { return config },
		Reserve: func(_ context.Context, organisation string, tokens int64) (budget.Reservation, error) {
			return budget.Reservation{Organisation: organisation, Tokens: tokens}, nil
		},
		Settle:   func(_ budget.Reservation, used int64) { f.spent += used },
		Pick:     func(route.Request) (route.Choice, error) { return route.Choice{}, nil },
		Done:     func(_ int64, o route.Outcome) { f.outcomes = append(f.outcomes, o) },
		Retries:  &route.RetryWindow{Length: time.Second},
		Dispatch: dispatch, Random: func(int) int { return 0 },
	}
	f.Retries.Default()
	f.Default()
	return f
}

// serve relays a request with 100 tokens in its prompt and up to 50 as output.
func (f *fixture) serve(ctx context.Context) relay.Result {
	req := &relay.Request{
		ID: "1", Host: "h", Path: "/x", Key: "key", Prompt: &relay.Prompt{Tokens: 100, MaxOutput: 50}, Arrived: time.Now(), Timeout: 10 * time.Second,
	}
	return f.Serve(ctx, req, relay.Sink{Head: func(int, http.Header, int64) {}, Write: func([]byte) error { return nil }})
}

// TestCallersThatLeaveDoNotCountAgainstTargets checks which outcome is recorded for a target when the request ends before
// its response.
func TestCallersThatLeaveDoNotCountAgainstTargets(t *testing.T) {
	for name, c := range map[string]struct {
		after time.Duration
		want  route.Outcome
	}{
		"soon":                        {objective / 2, route.Cancelled},
		"after the target was silent": {4 * objective, route.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(func(ctx context.Context, _ relay.Dispatch) (*relay.Response, error) {
					<-ctx.Done()
					return nil, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: ctx.Err()}
				})
				ctx, cancel := context.WithCancel(t.Context())
				time.AfterFunc(c.after, cancel)
				f.serve(ctx)
				assert.DeepEqual(t, f.outcomes, []route.Outcome{c.want})
			})
		})
	}
	t.Run("a failure of the target counts", func(t *testing.T) {
		f := newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) {
			return nil, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: errors.New("reset")}
		})
		f.serve(t.Context())
		assert.DeepEqual(t, f.outcomes, []route.Outcome{route.Failed})
	})
}

// TestOutputIsBilledByAdmittingConfiguration checks that the output of a request is billed although its service was removed
// from the configuration meanwhile.
func TestOutputIsBilledByAdmittingConfiguration(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	var f *fixture
	f = newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) {
		f.Table = func() *table.Table { return table.New(table.Config{Version: 2}) }
		return &relay.Response{
			Status: http.StatusOK, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: true},
			Read: func(p []byte) (int, error) {
				if len(events) == 0 {
					return 0, io.EOF
				}
				n := copy(p, events[0])
				events = events[1:]
				return n, nil
			},
			SetReadTimeout: func(time.Duration) {}, Close: func() {},
		}, nil
	})
	result := f.serve(t.Context())
	assert.Equal(t, result.Events, 2)
	assert.Equal(t, f.spent, int64(110))
}

// TestEndlessBodyIsCut guards against a target whose response does not end: it must not occupy the link and the processor until the
// deadline of the request.
func TestEndlessBodyIsCut(t *testing.T) {
	const limit = 1 << 20
	for name, c := range map[string]struct {
		stream bool
		text   string
	}{
		"body": {false, "x"}, "events": {true, "data: 1\n\n"}, "empty lines": {true, "\n"}, "an event": {true, "data: 1\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) {
				read := 0
				return &relay.Response{
					Status: http.StatusOK, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: c.stream},
					Read: func(p []byte) (int, error) {
						if read += len(p); read > 4*limit {
							return 0, &relay.AttemptError{Kind: relay.Silent, Sent: true, Err: errors.New("the deadline passed")}
						}
						return copy(p, strings.Repeat(c.text, len(p)/len(c.text))), nil
					},
					SetReadTimeout: func(time.Duration) {}, Close: func() {},
				}, nil
			})
			f.MaxResponseBytes = limit
			result := f.serve(t.Context())
			assert.Assert(t, result.Truncated || result.Refused != nil)
			assert.Equal(t, result.LastFailure.Kind, relay.Invalid)
			assert.DeepEqual(t, f.outcomes, []route.Outcome{route.Failed})
		})
	}
}

// TestOnlyAnswersClearARequest guards against a part that crashes targets and is cleared by a target that responds without beginning
// an answer.
func TestOnlyAnswersClearARequest(t *testing.T) {
	for status, refused := range map[int]bool{http.StatusOK: false, http.StatusNotFound: true, http.StatusInternalServerError: true} {
		t.Run(http.StatusText(status), func(t *testing.T) {
			crashes := true
			f := newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) {
				if crashes {
					return nil, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: io.ErrUnexpectedEOF}
				}
				return &relay.Response{
					Status: status, ResponseHead: relay.ResponseHead{HasSignature: true},
					Read: func([]byte) (int, error) { return 0, io.EOF }, SetReadTimeout: func(time.Duration) {}, Close: func() {},
				}, nil
			})
			incarnation := 0
			f.Pick = func(route.Request) (route.Choice, error) {
				incarnation++
				return route.Choice{Target: roster.Target{Incarnation: strconv.Itoa(incarnation)}}, nil
			}
			f.Crashes = &poison.Tracker{}
			f.Crashes.Default()
			f.HasCrashed = func(context.Context, roster.Target) bool { return true }
			for _, crashes = range []bool{true, true, false, true} {
				f.serve(t.Context())
			}
			result := f.serve(t.Context())
			assert.Equal(t, result.Refused.Code == codes.CrashesTargets, refused, "%v", result.Refused)
		})
	}
}

// TestRequestsKeepNoOldConfiguration guards against a process that ends for lack of memory since each answer in flight keeps the configuration that admitted it.
func TestRequestsKeepNoOldConfiguration(t *testing.T) {
	var f *fixture
	f = newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) {
		config := weak.Make(f.Table())
		routes := weak.Make(&f.Table().Routes[0])
		f.Table = func() *table.Table { return nil }
		runtime.GC()
		assert.Check(t, config.Value() == nil && routes.Value() == nil, "the configuration is still in memory")
		return nil, &relay.AttemptError{Kind: relay.Broken, Sent: true, Err: errors.New("reset")}
	})
	f.serve(t.Context())
}

// TestWorkIsObserved guards against targets that are chosen without what is known of a request, and against answers that nothing is learned from.
func TestWorkIsObserved(t *testing.T) {
	events := []string{"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n"}
	f := newFixture(func(context.Context, relay.Dispatch) (*relay.Response, error) {
		return &relay.Response{
			Status: http.StatusOK, ResponseHead: relay.ResponseHead{HasSignature: true, IsEventStream: true},
			Read: func(p []byte) (int, error) {
				if len(events) == 0 {
					return 0, io.EOF
				}
				n := copy(p, events[0])
				events = events[1:]
				return n, nil
			},
			SetReadTimeout: func(time.Duration) {}, Close: func() {},
		}, nil
	})
	var picked []*cost.Request
	var progress [][2]int64
	f.Pick = func(r route.Request) (route.Choice, error) {
		picked = append(picked, r.Work)
		return route.Choice{DispatchID: 7, Expected: &route.Expected{By: route.BySample}}, nil
	}
	f.Progress = func(id, output int64) { progress = append(progress, [2]int64{id, output}) }
	result := f.serve(t.Context())
	assert.DeepEqual(t, picked, []*cost.Request{{Route: "r", Organisation: "travel", Service: "draft", Prompt: 100, MaxOutput: 50}})
	assert.DeepEqual(t, progress, [][2]int64{{7, 0}, {7, 10}})
	assert.Assert(t, result.Expected.By == route.BySample && result.TargetFirst > 0)
}
