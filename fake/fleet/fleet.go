// Package fleet runs a fake platform, fake targets and instances in one process, on free ports of the loopback address.
// The demo, tests and measurements use it.
package fleet

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"github.com/rs/zerolog"
	"golang.org/x/sync/errgroup"

	"cranberryrail/core/conf"
	"cranberryrail/core/ledger"
	"cranberryrail/core/once"
	"cranberryrail/core/roster"
	"cranberryrail/fake/engine"
	"cranberryrail/fake/plain"
	"cranberryrail/fake/platf"
	"cranberryrail/fake/proxy"
	"cranberryrail/io/node"
	"cranberryrail/io/opts"
)

// Model, Version and Service are served by the fake targets.
const (
	Model   = "draft"
	Version = "1"
	Service = "claims"
)

// OperatorKey is the operator key of every instance.
const OperatorKey = "operator-key"

// OperatorKeySHA256 returns the SHA-256 hash of OperatorKey in hexadecimal, as in settings.
func OperatorKeySHA256() string { return keyHash(OperatorKey) }

func keyHash(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Fleet is a fake platform with targets and instances. Exported fields are set before Start.
type Fleet struct {
	// Instances, Engines and Services are the numbers that Start starts.
	Instances, Engines, Services int
	// Platform is the fake platform; Default creates one when it is nil.
	Platform *platf.Server
	// FirstToken, TokenGap and Capacity are passed to the engines.
	FirstToken, TokenGap time.Duration
	Capacity             int
	// FixedLength makes each engine answer exactly max_tokens long.
	FixedLength bool
	// Proxied inserts proxies (TCP forwarders that can be closed) between each instance and the platform, and in front
	// of its peer address.
	Proxied bool
	// ConfigureInstance modifies the settings of an instance before it is created; optional.
	ConfigureInstance func(i int, s *opts.Settings)
	// Log receives the events of the instances.
	Log zerolog.Logger

	// Members holds all instances, including stopped ones. EngineServers and ServiceServers hold the current
	// incarnation of each target.
	Members        []*Member
	EngineServers  []*engine.Server
	ServiceServers []*plain.Server

	ctx    context.Context
	cancel context.CancelFunc
	group  *errgroup.Group
}

// Member is an instance of the fleet.
type Member struct {
	*node.Node
	// LogProxy forwards connections to the platform, PeerProxy those from other instances;
	// they are nil unless the fleet is proxied.
	LogProxy, PeerProxy *proxy.Proxy

	cancel context.CancelFunc
	done   chan struct{}
	err    error
}

// HasAnswered reports whether the instance has read the answer of a call back from the log.
func (m *Member) HasAnswered(call string) bool {
	state, err := m.Once[0].Feed.State()
	if err != nil {
		return false
	}
	fold := once.New()
	if fold.Load(state.Data) != nil {
		return false
	}
	c := fold.Call(call)
	return c != nil && c.State == once.Done
}

// String describes the fleet for logs.
func (f *Fleet) String() string {
	return fmt.Sprintf("fleet of %d instances, %d engines and %d services", f.Instances, f.Engines, f.Services)
}

// Default sets unset fields to their defaults.
func (f *Fleet) Default() {
	if f.Platform == nil {
		f.Platform = &platf.Server{Seed: 1}
	}
	if f.ConfigureInstance == nil {
		f.ConfigureInstance = func(int, *opts.Settings) {}
	}
	if f.Capacity == 0 {
		f.Capacity = 64
	}
}

// Start starts the platform, the targets and the instances, and waits until all instances are ready.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.Launch(ctx); err != nil {
		return err
	}
	return f.AwaitReady(ctx)
}

// Launch starts the platform, the targets and the instances. All of them stop when ctx ends, the instances as planned.
func (f *Fleet) Launch(ctx context.Context) error {
	f.ctx, f.cancel = context.WithCancel(ctx)
	f.group, f.ctx = errgroup.WithContext(f.ctx)
	f.Platform.Default()
	if err := f.Platform.Listen(f.ctx); err != nil {
		return err
	}
	f.group.Go(func() error { return f.Platform.Run(f.ctx) })
	for i := range f.Engines {
		f.EngineServers = append(f.EngineServers, f.startEngine(i))
	}
	for i := range f.Services {
		f.ServiceServers = append(f.ServiceServers, f.startService(i))
	}
	for range f.Instances {
		if _, err := f.StartInstance(); err != nil {
			return err
		}
	}
	return nil
}

// startEngine starts an engine and adds it to the platform's list.
func (f *Fleet) startEngine(i int) *engine.Server {
	e := &engine.Server{
		ID: fmt.Sprintf("engine-%d", i), Models: []roster.Model{{Model: Model, Version: Version}}, Capacity: f.Capacity,
		FirstToken: f.FirstToken, TokenGap: f.TokenGap, FixedLength: f.FixedLength, Seed: uint64(i) + 1, Log: zerolog.Nop(),
	}
	e.Default()
	f.group.Go(func() error { return e.Run(f.ctx) })
	f.Platform.SetTarget(roster.Target{
		ID: e.ID, Incarnation: e.Incarnation(), Zone: "zone-a", Kind: roster.ModelEngine, Addr: e.Addr(), State: roster.Live,
		Models: e.Models,
	})
	return e
}

// startService starts a service and adds it to the platform's list.
func (f *Fleet) startService(i int) *plain.Server {
	s := &plain.Server{ID: fmt.Sprintf("service-%d", i), Seed: uint64(i) + 1, Log: zerolog.Nop()}
	s.Default()
	f.group.Go(func() error { return s.Run(f.ctx) })
	f.Platform.SetTarget(roster.Target{
		ID: s.ID, Incarnation: s.Incarnation(), Zone: "zone-a", Kind: roster.PlainService, Addr: s.Addr(), State: roster.Live,
		Service: Service,
	})
	return s
}

// ReplaceEngine starts a new incarnation of an engine. The old one keeps running until the fleet is closed.
func (f *Fleet) ReplaceEngine(i int) { f.EngineServers[i] = f.startEngine(i) }

// ReplaceService starts a new incarnation of a service. The old one keeps running until the fleet is closed.
func (f *Fleet) ReplaceService(i int) { f.ServiceServers[i] = f.startService(i) }

// StartInstance starts another instance and adds it to the platform's list.
func (f *Fleet) StartInstance() (*Member, error) {
	i := len(f.Members)
	m := &Member{done: make(chan struct{})}
	if err := f.listenProxies(m); err != nil {
		return nil, err
	}
	settings, err := f.settings(i, m)
	if err != nil {
		return nil, err
	}
	m.Node = &node.Node{Settings: settings, Log: f.Log.With().Str("instance", settings.Instance.ID).Logger()}
	m.Default()
	if err := m.Listen(f.ctx); err != nil {
		return nil, err
	}
	f.runProxies(m)
	ctx, cancel := context.WithCancel(f.ctx)
	m.cancel = cancel
	f.group.Go(func() error {
		defer close(m.done)
		m.err = m.Run(ctx)
		return nil
	})
	f.Members = append(f.Members, m)
	f.Platform.SetInstance(m.ListEntry())
	return m, nil
}

// listenProxies creates the proxies of an instance and opens their listeners, if the fleet is proxied.
func (f *Fleet) listenProxies(m *Member) error {
	if !f.Proxied {
		return nil
	}
	m.LogProxy, m.PeerProxy = &proxy.Proxy{Target: f.Platform.Addr()}, &proxy.Proxy{}
	m.LogProxy.Default()
	m.PeerProxy.Default()
	return errors.Join(m.LogProxy.Listen(f.ctx), m.PeerProxy.Listen(f.ctx))
}

// runProxies starts the proxies of an instance; the instance must be listening.
func (f *Fleet) runProxies(m *Member) {
	if !f.Proxied {
		return
	}
	m.PeerProxy.Target = m.PeerListenAddr()
	f.group.Go(func() error { return m.LogProxy.Run(f.ctx) })
	f.group.Go(func() error { return m.PeerProxy.Run(f.ctx) })
}

func (f *Fleet) settings(i int, m *Member) (opts.Settings, error) {
	platform, advertise := f.Platform.Addr(), ""
	if f.Proxied {
		platform, advertise = m.LogProxy.Addr(), m.PeerProxy.Addr()
	}
	text := fmt.Sprintf(`
[instance]
id = "instance-%d"
zone = "zone-a"
[caller]
listen = "127.0.0.1:0"
[peer]
listen = "127.0.0.1:0"
advertise = "%s"
[operator]
listen = "127.0.0.1:0"
key_sha256 = "%s"
[platform]
log_url = "http://%s"
list_url = "http://%s"
[stop]
timeout_ms = 20000
notice_ms = 50
`, i, advertise, OperatorKeySHA256(), platform, platform)
	s, err := opts.Parse([]byte(text))
	if err != nil {
		return s, fmt.Errorf("settings of instance %d: %w", i, err)
	}
	f.ConfigureInstance(i, &s)
	return s, nil
}

// pollInterval is the time between two checks of an awaited condition.
const pollInterval = 10 * time.Millisecond

// AwaitReady waits until all running instances are ready.
func (f *Fleet) AwaitReady(ctx context.Context) error {
	return f.AwaitNothing(ctx, func() string {
		for _, m := range f.Running() {
			if !m.Ready() {
				return m.Settings.Instance.ID + " is not ready"
			}
		}
		return ""
	})
}

// AwaitConnected waits until all running instances are ready and connected to each other and to the log.
func (f *Fleet) AwaitConnected(ctx context.Context) error {
	return f.AwaitNothing(ctx, func() string {
		running := f.Running()
		for _, m := range running {
			switch id, others := m.Settings.Instance.ID, len(running)-1; {
			case !m.Ready():
				return id + " is not ready"
			case !m.LogReached():
				return id + " does not reach the log"
			case m.PeersReached() < others:
				return fmt.Sprintf("%s reaches %d of %d other instances", id, m.PeersReached(), others)
			}
		}
		return ""
	})
}

// Running returns the instances that have not stopped.
func (f *Fleet) Running() []*Member {
	var running []*Member
	for _, m := range f.Members {
		if !m.Stopped() {
			running = append(running, m)
		}
	}
	return running
}

// Await polls until the condition is true, ctx ends or the fleet is stopped.
func (f *Fleet) Await(ctx context.Context, condition func() bool) error {
	return f.AwaitNothing(ctx, func() string {
		if condition() {
			return ""
		}
		return "its condition is not reached"
	})
}

// AwaitNothing polls until missing returns an empty text, ctx ends or the fleet is stopped. The text is what is still waited for; it is part of the error.
func (f *Fleet) AwaitNothing(ctx context.Context, missing func() string) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		last := missing()
		if last == "" {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("wait for the fleet: %s: %w", last, ctx.Err())
		case <-f.ctx.Done():
			return fmt.Errorf("wait for the fleet: %s: fleet was stopped", last)
		case <-ticker.C:
		}
	}
}

// Stopped reports whether the instance has stopped.
func (m *Member) Stopped() bool {
	select {
	case <-m.done:
		return true
	default:
		return false
	}
}

// Stop shuts the instance down gracefully and returns its error.
func (m *Member) Stop() error {
	m.cancel()
	<-m.done
	return m.err
}

// Kill stops the instance abruptly, like a crash of its process.
func (m *Member) Kill() {
	m.Node.Kill()
	<-m.done
	m.cancel()
}

// Close kills the instances, and stops the targets and the platform.
func (f *Fleet) Close() {
	for _, m := range f.Members {
		if !m.Stopped() {
			m.Kill()
		}
	}
	f.cancel()
	_ = f.group.Wait()
}

// Publish publishes a template through an instance and waits until it is in force at all running instances.
func (f *Fleet) Publish(ctx context.Context, via *Member, id, template string) error {
	t, err := conf.Parse([]byte(template))
	if err != nil {
		return err
	}
	outcome, err := via.Conf.Publish(conf.PublishRequest{ID: id, Organisation: t.Organisation, Body: []byte(template)}, false)
	if err != nil {
		return err
	}
	if err := outcome.Err(); err != nil {
		return err
	}
	return f.AwaitNothing(ctx, func() string {
		for _, m := range f.Running() {
			if m.Conf.Version() < outcome.Version {
				return fmt.Sprintf("%s has version %d of the configuration, published is %d", m.Settings.Instance.ID, m.Conf.Version(), outcome.Version)
			}
		}
		return ""
	})
}

// TopUp adds tokens to a budget through an instance.
func (f *Fleet) TopUp(via *Member, id, organisation string, tokens int64) error {
	budget := ledger.BudgetKey(organisation, conf.MainBudget)
	r, err := via.LedgerOf(budget).TopUp(ledger.TopUp{ID: id, Budget: budget, Tokens: tokens})
	if err != nil {
		return err
	}
	if r.Refused != "" {
		return fmt.Errorf("top up %s: refused: %s", budget, r.Refused)
	}
	return nil
}

// Template returns a template for an organisation, with access to Model and Service and with the API key Key returns.
func Template(organisation string) string {
	return fmt.Sprintf(`organisation = %q
keys_sha256 = [%q]
services = [%q]
[[models]]
model = %q
`, organisation, keyHash(Key(organisation)), Service, Model)
}

// Key returns the API key of an organisation with a Template: its name and "-key".
func Key(organisation string) string { return organisation + "-key" }
