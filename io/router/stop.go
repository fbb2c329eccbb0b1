package router

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/events"
	"cranberryrail/core/pause"
	"cranberryrail/io/peer"
)

// Durations of a graceful shutdown.
const (
	// returnReserve is reserved for returning tokens, which takes several appends.
	returnReserve = 600 * time.Millisecond
	// exitReserve is reserved for the exit of the process.
	exitReserve = 300 * time.Millisecond
	// otherReadyInterval is how often a stopping instance checks whether another one is ready, otherReadyTimeout bounds a check: about a hundred times
	// its usual duration, and maxOthersAsked is the number of instances that one check asks, since some may be gone or in another zone.
	otherReadyInterval = 250 * time.Millisecond
	otherReadyTimeout  = 250 * time.Millisecond
	maxOthersAsked     = 16
	// idlePollInterval is how often a stopping instance checks whether requests are in flight.
	idlePollInterval = 25 * time.Millisecond
)

// stop waits for requests in flight and returns unused tokens. From its beginning on, requests that may outlast the instance are refused: at first only
// while another instance can take them, since the platform still sends requests here, and after the notice always. Those that usually last longer than is
// left are refused even if this instance is alone.
func (r *Router) stop(ctx context.Context) error {
	s := r.Settings.Stop
	events.Log(r.Log, events.StopBegan).Int64("in_flight", r.entry.InFlight()).Dur("limit", s.GraceS.Duration()).Send()
	r.running.Store(false)
	ctx, cancel := context.WithTimeout(ctx, s.GraceS.Duration()-exitReserve)
	defer cancel()
	deadline := time.Now().Add(s.GraceS.Duration() - exitReserve - returnReserve)
	r.noticeEnds.Store(time.Now().Add(s.NoticeS.Duration()).UnixNano())
	r.entry.CloseConnections()
	r.entry.StopAt(deadline)
	r.watchOthers(ctx, s.NoticeS.Duration())
	r.noticeOver.Store(true)
	r.returnEarly(ctx, deadline)
	r.awaitIdle(ctx, deadline)
	r.awaitForwarded(ctx, deadline)
	err := r.budgetSync.ReturnTokens(ctx)
	r.entry.StopAt(time.Now())
	r.awaitIdle(ctx, deadline.Add(returnReserve))
	inFlight := r.entry.InFlight()
	if err != nil {
		events.Log(r.Log, events.StopGaveUp).Int64("in_flight", inFlight).Err(err).Send()
		return nil // Tokens that were not returned count as spent.
	}
	if inFlight > 0 {
		events.Log(r.Log, events.StopGaveUp).Int64("in_flight", inFlight).Send()
		return nil
	}
	events.Log(r.Log, events.StopDone).Send()
	return nil
}

// awaitIdle waits until no request is in flight, the deadline passes or the context ends.
func (r *Router) awaitIdle(ctx context.Context, until time.Time) {
	for r.entry.InFlight() > 0 && ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, idlePollInterval)
	}
}

// returnEarly returns the tokens that requests in flight do not need. They are then not lost if the
// machine is terminated early, and there is time for another attempt.
func (r *Router) returnEarly(ctx context.Context, deadline time.Time) {
	if r.entry.InFlight() == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if err := r.budgetSync.ReturnTokens(ctx); err != nil {
		events.Log(r.Log, events.TopicLost).Str("topic", r.Platform.BudgetTopic).Err(err).Send()
	}
}

// refusesLong reports whether requests that may outlast this stopping instance are refused.
func (r *Router) refusesLong() bool { return r.noticeOver.Load() || r.otherReady.Load() }

// stopRetryAfter returns the time until the platform sends requests to other instances, if there are any: the rest of the notice.
func (r *Router) stopRetryAfter() time.Duration { return time.Until(time.Unix(0, r.noticeEnds.Load())) }

// watchOthers tracks for a time whether another instance is ready.
func (r *Router) watchOthers(ctx context.Context, notice time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, notice)
	defer cancel()
	for ctx.Err() == nil {
		r.otherReady.Store(r.isOtherReady(ctx))
		pause.For(ctx, otherReadyInterval)
	}
}

// isOtherReady asks some other instances, and reports whether one of them is ready. It returns once one is.
func (r *Router) isOtherReady(ctx context.Context) bool {
	if r.peerClient == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, otherReadyTimeout)
	defer cancel()
	addrs := r.budgetSync.Peers()
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	var group errgroup.Group
	ready := make(chan bool, maxOthersAsked)
	asked := addrs[:min(len(addrs), maxOthersAsked)]
	for _, addr := range asked {
		group.Go(func() error {
			ready <- r.isReadyAt(ctx, addr)
			return nil
		})
	}
	found := false
	for range asked {
		if found = <-ready; found {
			cancel()
			break
		}
	}
	_ = group.Wait() // the functions return no errors
	return found
}

// readiness is the report of an instance on whether it accepts requests.
type readiness struct {
	Zone  string `json:"zone"`
	Ready bool   `json:"ready"`
}

// reportReadiness is the kind of the report with the readiness.
const reportReadiness = "readiness"

var errUnknownReport = errors.New("this instance has no such report")

// report returns a report of this instance for another one, in JSON.
func (r *Router) report(kind string) ([]byte, error) {
	if kind != reportReadiness {
		return nil, errUnknownReport
	}
	return json.Marshal(readiness{Zone: r.Settings.Instance.Zone, Ready: r.Ready()})
}

// isReadyAt reports whether the instance at an address is ready and in this zone: the platform sends requests to other zones only if no instance of this
// one is ready. An older build does not report its readiness; it counts as ready if it replies.
func (r *Router) isReadyAt(ctx context.Context, addr string) bool {
	data, err := r.peerClient.Report(ctx, addr, reportReadiness)
	var failed *peer.CallError
	if errors.As(err, &failed) {
		return failed.Kind == peer.Refused
	}
	var other readiness
	if err := json.Unmarshal(data, &other); err != nil {
		return false
	}
	return other.Ready && other.Zone == r.Settings.Instance.Zone
}
