// Package router puts the parts of an instance on the users' platform together: the
// listeners, the topics that are followed, the budgets, and the order in which they start
// and stop.
package router

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/google/uuid"
	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/agent"
	"cranberryrail/core/events"
	"cranberryrail/core/logs"
	"cranberryrail/core/pause"
	"cranberryrail/core/purse"
	"cranberryrail/core/relay"
	"cranberryrail/core/roster"
	"cranberryrail/core/route"
	"cranberryrail/core/table"
	"cranberryrail/io/conns"
	"cranberryrail/io/entry"
	"cranberryrail/io/httpd"
	"cranberryrail/io/meter"
	"cranberryrail/io/opts"
	"cranberryrail/io/uptime"
)

// Platform is how the users' platform speaks: names, and translations into the product's
// types.
type Platform struct {
	// ConfigTopic holds the configuration under ConfigKey, TargetTopic an entry for each target
	// by its id, BudgetTopic the prepaid budgets, and PromiseTopic what instances hold of them
	// and don't spend yet.
	ConfigTopic, ConfigKey, TargetTopic, BudgetTopic, PromiseTopic string
	// ReadyPath is where the platform asks whether the instance takes requests.
	ReadyPath string
	// Config and Target read records of the topics.
	Config func(value []byte) (table.Config, error)
	Target func(id string, value []byte) (roster.Entry, error)
	// Request reads a request of a caller, but for its body.
	Request func(r *http.Request) (*relay.Request, error)
	// Header returns the headers of a dispatch.
	Header func(d relay.Dispatch) http.Header
	// Ours reports whether an answer belongs to the request with an id.
	Ours func(h http.Header, id string) bool
	// Reply reads the head of a target's answer.
	Reply func(status int, h http.Header) relay.Reply
	// Refuse sets the headers of a refusal.
	Refuse func(h http.Header, id string, after time.Duration)
}

// Router is one instance on the platform. Exported fields are set before Default.
type Router struct {
	// Settings are the checked settings of the process.
	Settings opts.Router
	// Reload reads the settings again; optional.
	Reload func() (opts.Router, error)
	// Hangup tells that the settings may have changed; optional.
	Hangup <-chan os.Signal
	// Log takes the numbered events, and Dropped counts the lines that it dropped so far;
	// Dropped is optional.
	Log     zerolog.Logger
	Dropped func() int64
	// Meter takes the metrics.
	Meter *meter.Meter
	// Store is the platform's log.
	Store logs.Log
	// Platform translates.
	Platform Platform

	// Inc is the incarnation, made by Default.
	Inc string

	system  *actor.ActorSystem
	picker  *route.Client
	table   table.Keeper
	retries *route.Window
	conns   *conns.Client
	book    *purse.Book
	keeper  *purse.Keeper
	relay   *relay.Server
	entry   *entry.Server
	ready   *httpd.Server
	metrics *httpd.Server

	// configured is when the configuration came into force, in Unix nanoseconds.
	configured atomic.Int64
	// lostTopics holds by topic since when it can't be reached.
	lostTopics sync.Map

	listMu sync.Mutex
	list   *roster.List
	listed atomic.Bool
	// open tells that the instance is not stopping.
	open atomic.Bool
	// starved is when a request was last refused because the platform's log was out of reach,
	// in Unix nanoseconds.
	starved atomic.Int64
	// said is the readiness that was logged last.
	said atomic.Bool
	// dropped is the number of dropped lines that was logged last.
	dropped int64
}

// String names the instance for logs.
func (r *Router) String() string { return "instance " + r.Settings.Instance.ID }

// heldPart is the part of the memory that bodies of requests in flight may take.
const heldPart = 0.25

// Default makes the parts of the instance.
func (r *Router) Default() {
	r.Inc = uuid.NewString()
	r.system = agent.Quiet()
	s := r.Settings
	a := &route.Actor{}
	a.Table.Seed, a.Table.Bound = rand.Uint64(), s.Target.Bound
	r.picker = &route.Client{Root: r.system.Root, PID: r.system.Root.Spawn(a.Props())}
	r.retries = &route.Window{Length: s.Retry.WindowS.Duration(), Ratio: s.Retry.Ratio, Slack: s.Retry.Slack}
	r.retries.Default()
	r.conns = &conns.Client{Dialled: r.Meter.Connected}
	r.conns.Default()
	r.list = &roster.List{Changed: r.targetChanged}
	r.list.Default()
	r.makeBudgets()
	r.table.Applied = r.applied
	r.relay = &relay.Server{
		Table: r.table.Current, Reserve: r.book.Reserve, Settle: r.book.Settle, Pick: r.picker.Pick, Done: r.picker.Done,
		Retries: r.retries, Open: r.send, Failed: r.attemptFailed, Zone: s.Instance.Zone, Random: rand.IntN,
	}
	r.relay.Default()
	r.entry = &entry.Server{
		BodyBytes: s.Caller.BodyBytes, HeldBytes: s.Memory.Bytes(heldPart),
		Read: r.Platform.Request, Serve: r.relay.Serve, Refuse: r.Platform.Refuse, Ended: r.ended, Panicked: r.panicked,
	}
	r.ready = &httpd.Server{Whom: "the platform", Setting: "caller.ready"}
	r.ready.Handler = http.HandlerFunc(r.answerReady)
	r.ready.ReadHeaderTimeout = readyTimeout
	r.metrics = &httpd.Server{Whom: "metrics", Setting: "metrics.listen"}
	mux := http.NewServeMux()
	mux.Handle("/", r.Meter.Handler())
	mux.HandleFunc("GET "+StatePath, r.serveState)
	r.metrics.Handler = mux
	r.metrics.ReadHeaderTimeout = readyTimeout
}

// readyTimeout is the longest time for the headers of a question of the platform.
const readyTimeout = 5 * time.Second

func (r *Router) makeBudgets() {
	s := r.Settings.Budget
	r.book = &purse.Book{Cover: s.CoverMS.Duration(), Wait: s.WaitMS.Duration(), Uptime: uptime.Now}
	boot, err := uptime.Boot()
	if err != nil {
		events.Log(r.Log, events.PromisesOff).Err(err).Send()
	}
	r.keeper = &purse.Keeper{
		Log: r.Store, Topic: r.Platform.BudgetTopic, Shards: s.Shards, Instance: r.Settings.Instance.ID, Inc: r.Inc, Book: r.book,
		PromiseTopic: r.Platform.PromiseTopic, PromiseParts: s.Shards, Boot: boot, Started: uptime.Now(),
		PromiseLost: r.lost(r.Platform.PromiseTopic), PromiseBack: r.back(r.Platform.PromiseTopic), Inherited: r.inherited,
		Changed: r.holdingChanged, Unsettled: r.unsettled, Unreadable: r.unreadable(r.Platform.BudgetTopic),
		Lost: func(part int, err error) { r.lost(fmt.Sprintf("%s/%d", r.Platform.BudgetTopic, part))(err) },
		Back: func(part int, away time.Duration) { r.back(fmt.Sprintf("%s/%d", r.Platform.BudgetTopic, part))(away) },
	}
	r.keeper.Default()
}

// Listen opens all listeners.
func (r *Router) Listen(ctx context.Context) error {
	listens := []func() error{
		func() error { return r.entry.Listen(ctx, r.Settings.Caller.Listen) },
		func() error { return r.ready.Listen(ctx, r.Settings.Caller.Ready) },
	}
	if r.Settings.Metrics.Listen != "" {
		listens = append(listens, func() error { return r.metrics.Listen(ctx, r.Settings.Metrics.Listen) })
	}
	for _, listen := range listens {
		if err := listen(); err != nil {
			events.Log(r.Log, events.ListenFailed).Err(err).Send()
			return err
		}
	}
	return nil
}

// Addr returns the address that callers reach.
func (r *Router) Addr() string { return r.entry.Addr() }

// starvedFor is how long an instance takes no new connections after it had to refuse a
// request because it could not draw tokens: some questions of the platform.
const starvedFor = 3 * time.Second

// Ready reports whether the instance takes requests: it knows the configuration, the
// targets and the budgets, can cover requests, and does not stop.
func (r *Router) Ready() bool {
	starved := time.Since(time.Unix(0, r.starved.Load())) < starvedFor
	return r.open.Load() && r.table.Current() != nil && r.listed.Load() && r.book.Known() && !starved
}

// answerReady tells the platform whether the instance takes requests.
func (r *Router) answerReady(w http.ResponseWriter, req *http.Request) {
	if req.URL.Path != r.Platform.ReadyPath {
		http.NotFound(w, req)
		return
	}
	status := http.StatusOK
	if !r.Ready() {
		status = http.StatusServiceUnavailable
	}
	w.Header().Set("Content-Length", "0")
	w.WriteHeader(status)
}

// Run serves until the context ends, and then stops gracefully within the time of the
// settings: requests in flight end, and unused tokens are given back.
func (r *Router) Run(ctx context.Context) error {
	events.Log(r.Log, events.Start).Str("instance", r.Settings.Instance.ID).Str("incarnation", r.Inc).Str("zone", r.Settings.Instance.Zone).
		Str("callers", r.Settings.Caller.Listen).Send()
	r.open.Store(true)
	work, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	g, work := errgroup.WithContext(work)
	for _, run := range r.runs() {
		g.Go(func() error { return run(work) })
	}
	g.Go(func() error {
		defer end()
		select {
		case <-work.Done():
			return nil
		case <-ctx.Done():
			return r.stop(work)
		}
	})
	err := g.Wait()
	r.conns.Close()
	return errors.Join(err, r.Meter.Close())
}

// runs returns what runs side by side.
func (r *Router) runs() []func(ctx context.Context) error {
	runs := []func(ctx context.Context) error{
		r.entry.Run, r.ready.Run, r.keeper.Run, r.followConfig().Run, r.followTargets().Run, r.tick, r.reloads,
	}
	if r.Settings.Metrics.Listen != "" {
		runs = append(runs, r.metrics.Run)
	}
	return runs
}

// tickEvery is the time between two looks at what ends by time.
const tickEvery = 500 * time.Millisecond

// tick ends what ends by time.
func (r *Router) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		r.conns.Sweep()
		r.expire()
		r.sayReady()
		r.sayDropped()
	}
}

// sayDropped logs how many lines of the log were dropped since it was last logged.
func (r *Router) sayDropped() {
	if r.Dropped == nil {
		return
	}
	if n := r.Dropped(); n > r.dropped {
		events.Log(r.Log, events.LinesDropped).Int64("lines", n-r.dropped).Send()
		r.dropped = n
	}
}

// sayReady logs a change of readiness.
func (r *Router) sayReady() {
	ready := r.Ready()
	if ready == r.said.Load() || !r.open.Load() {
		return
	}
	r.said.Store(ready)
	event := events.NotReady
	if ready {
		event = events.Ready
	}
	events.Log(r.Log, event).Send()
}

// Times of a graceful shutdown.
const (
	// returnTime is kept for giving back tokens: some appends.
	returnTime = 600 * time.Millisecond
	// exitTime is kept for the end of the process.
	exitTime = 300 * time.Millisecond
	// drainPoll is how often a stopping instance looks whether requests are in flight.
	drainPoll = 25 * time.Millisecond
)

// stop lets requests in flight end and gives back what is unused.
func (r *Router) stop(ctx context.Context) error {
	s := r.Settings.Stop
	events.Log(r.Log, events.StopBegan).Int64("in_flight", r.entry.InFlight()).Dur("limit", s.GraceS.Duration()).Send()
	r.open.Store(false)
	ctx, cancel := context.WithTimeout(ctx, s.GraceS.Duration()-exitTime)
	defer cancel()
	r.entry.Leave()
	pause.For(ctx, s.NoticeS.Duration())
	last := time.Now().Add(s.GraceS.Duration() - s.NoticeS.Duration() - exitTime - returnTime)
	r.entry.Stop(last)
	r.returnEarly(ctx, last)
	r.awaitIdle(ctx, last)
	err := r.keeper.Return(ctx)
	r.entry.Stop(time.Now())
	r.awaitIdle(ctx, last.Add(returnTime))
	cut := r.entry.InFlight()
	if err != nil {
		events.Log(r.Log, events.StopGaveUp).Int64("in_flight", cut).Err(err).Send()
		return nil // what was not given back stays spent
	}
	if cut > 0 {
		events.Log(r.Log, events.StopGaveUp).Int64("in_flight", cut).Send()
		return nil
	}
	events.Log(r.Log, events.StopDone).Send()
	return nil
}

// awaitIdle waits until no request is in flight, up to a time or the end of the context.
func (r *Router) awaitIdle(ctx context.Context, until time.Time) {
	for r.entry.InFlight() > 0 && ctx.Err() == nil && time.Now().Before(until) {
		pause.For(ctx, drainPoll)
	}
}

// returnEarly gives back what requests in flight do not need, so that it is not lost with a
// machine that is taken away before its time, and there is time to try again.
func (r *Router) returnEarly(ctx context.Context, last time.Time) {
	if r.entry.InFlight() == 0 {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, last)
	defer cancel()
	if err := r.keeper.Return(ctx); err != nil {
		events.Log(r.Log, events.TopicLost).Str("topic", r.Platform.BudgetTopic).Err(err).Send()
	}
}

// reloads reads the settings again when it is told that they may have changed.
func (r *Router) reloads(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.Hangup:
		}
		if r.Reload == nil {
			continue
		}
		s, err := r.Reload()
		if err != nil {
			events.Log(r.Log, events.ReloadFailed).Err(err).Send()
			continue
		}
		before := r.Settings
		r.Settings.Retry = s.Retry
		r.retries.Set(s.Retry.Ratio, s.Retry.Slack)
		r.book.SetCover(s.Budget.CoverMS.Duration())
		events.Log(r.Log, events.Reloaded).Bool("same", s == before).
			Bool("restart_needed", s.Caller != before.Caller || s.Store != before.Store || s.Metrics != before.Metrics).Send()
	}
}

// panicked logs a panic while a request was served; the others go on.
func (r *Router) panicked(reason any) {
	events.Log(r.Log, events.Panic).Str("reason", fmt.Sprint(reason)).Send()
}
