// Package pace measures how soon a change of the configuration is in force at all
// instances of a fleet in one process, and what an idle instance costs.
package pace

import (
	"context"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cranberryrail/core/conf"
	"cranberryrail/fake/fleet"
	"cranberryrail/fake/usage"
)

const (
	// lookEvery is how often the versions in force are looked at.
	lookEvery = time.Millisecond
	// changeEvery is the time between two changes.
	changeEvery = 50 * time.Millisecond
	// fleetTime bounds the measurements of one fleet.
	fleetTime = 5 * time.Minute
)

// Figures are what was measured of one size of fleet.
type Figures struct {
	Instances int
	// P50, P99 and Longest are times from the acceptance of a change to its being in force at
	// all instances.
	P50, P99, Longest time.Duration
	// PlatformBytes and PeerBytes are the bytes a second that an idle instance exchanges with
	// the platform and with other instances, in both directions together.
	PlatformBytes, PeerBytes float64
	// Core is the share of a core that an idle instance takes, its part of the stand-ins
	// included.
	Core float64
}

// Bench is one measurement. Exported fields are set before Run.
type Bench struct {
	// Instances are the sizes of the fleets.
	Instances []int
	// Targets is the number of engines that every instance asks for its load.
	Targets int
	// Changes is the number of changes that are timed.
	Changes int
	// Settle is how long a fleet is left alone before it is measured, so that its instances
	// know themselves to be idle.
	Settle time.Duration
	// Idle is how long an idle fleet is measured.
	Idle time.Duration
	// Out takes the table in Markdown.
	Out io.Writer
	// Figures are the results, once Run has returned.
	Figures []Figures
}

// String names the measurement for logs.
func (b *Bench) String() string {
	return fmt.Sprintf("measurement of configuration over fleets of %v instances", b.Instances)
}

// Default fills fields that were left empty.
func (b *Bench) Default() {
	if b.Instances == nil {
		b.Instances = []int{8, 32}
	}
	if b.Changes == 0 {
		b.Changes = 200
	}
	if b.Settle == 0 {
		b.Settle = 15 * time.Second
	}
	if b.Idle == 0 {
		b.Idle = 10 * time.Second
	}
	if b.Out == nil {
		b.Out = io.Discard
	}
}

// Run measures one fleet after another and writes the table.
func (b *Bench) Run(ctx context.Context) error {
	_, err := fmt.Fprint(b.Out, "| instances | targets | in force p50 ms | p99 ms | longest ms | platform bytes/s per instance | peer bytes/s per instance | core % per instance |\n",
		"| --: | --: | --: | --: | --: | --: | --: | --: |\n")
	if err != nil {
		return err
	}
	for _, n := range b.Instances {
		f, err := b.measure(ctx, n)
		if err != nil {
			return fmt.Errorf("measure %d instances: %w", n, err)
		}
		b.Figures = append(b.Figures, f)
		_, err = fmt.Fprintf(b.Out, "| %d | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f |\n", n, b.Targets,
			millis(f.P50), millis(f.P99), millis(f.Longest), f.PlatformBytes, f.PeerBytes, 100*f.Core)
		if err != nil {
			return err
		}
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measure measures one size: bytes in a fleet with gates, and the rest in one without.
func (b *Bench) measure(ctx context.Context, n int) (Figures, error) {
	figures := Figures{Instances: n}
	err := b.with(ctx, n, false, func(ctx context.Context, f *fleet.Fleet) error {
		if err := b.idleCore(ctx, &figures); err != nil {
			return err
		}
		return b.changes(ctx, f, &figures)
	})
	if err != nil {
		return figures, err
	}
	err = b.with(ctx, n, true, func(ctx context.Context, f *fleet.Fleet) error { return b.idleBytes(ctx, f, &figures) })
	return figures, err
}

// with runs a function on a fleet that has met and settled.
func (b *Bench) with(ctx context.Context, n int, gated bool, run func(ctx context.Context, f *fleet.Fleet) error) error {
	ctx, cancel := context.WithTimeout(ctx, fleetTime)
	defer cancel()
	f := &fleet.Fleet{Instances: n, Engines: b.Targets, Gated: gated, Log: zerolog.Nop()}
	f.Default()
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return err
	}
	if err := f.Publish(ctx, f.Nodes[0], "first", template(0)); err != nil {
		return err
	}
	if err := wait(ctx, b.Settle); err != nil {
		return err
	}
	return run(ctx, f)
}

func template(priority int) string {
	return fmt.Sprintf("organisation = \"acme\"\npriority = %d\n", priority)
}

// changes times changes from their acceptance until they are in force everywhere.
func (b *Bench) changes(ctx context.Context, f *fleet.Fleet, figures *Figures) error {
	const priorities = 10
	times := make([]time.Duration, 0, b.Changes)
	version := f.Nodes[0].ConfigVersion()
	for i := range b.Changes {
		via := f.Nodes[i%len(f.Nodes)]
		o, err := via.Conf.Publish(conf.Publish{
			ID: fmt.Sprint("change", i), Organisation: "acme", BasedOn: version, Body: []byte(template(i % priorities)),
		}, false)
		if err == nil {
			err = o.Err()
		}
		if err != nil {
			return err
		}
		accepted := time.Now()
		version = o.Version
		if err := awaitVersion(ctx, f, version); err != nil {
			return err
		}
		times = append(times, time.Since(accepted))
		if err := wait(ctx, changeEvery); err != nil {
			return err
		}
	}
	slices.Sort(times)
	at := func(share float64) time.Duration { return times[min(int(share*float64(len(times))), len(times)-1)] }
	figures.P50, figures.P99, figures.Longest = at(0.5), at(0.99), times[len(times)-1]
	return nil
}

// awaitVersion waits until a version is in force at all instances.
func awaitVersion(ctx context.Context, f *fleet.Fleet, version int64) error {
	for _, m := range f.Nodes {
		for m.ConfigVersion() < version {
			if err := wait(ctx, lookEvery); err != nil {
				return err
			}
		}
	}
	return nil
}

// idleCore measures the processor time of an idle fleet.
func (b *Bench) idleCore(ctx context.Context, figures *Figures) error {
	before, since := usage.ProcessorTime(), time.Now()
	if err := wait(ctx, b.Idle); err != nil {
		return err
	}
	figures.Core = (usage.ProcessorTime() - before).Seconds() / time.Since(since).Seconds() / float64(figures.Instances)
	return nil
}

// idleBytes measures what an idle fleet sends and receives. What passes between two
// instances counts at both.
func (b *Bench) idleBytes(ctx context.Context, f *fleet.Fleet, figures *Figures) error {
	platform, peers := passed(f)
	since := time.Now()
	if err := wait(ctx, b.Idle); err != nil {
		return err
	}
	toPlatform, toPeers := passed(f)
	perInstance := time.Since(since).Seconds() * float64(figures.Instances)
	figures.PlatformBytes = float64(toPlatform-platform) / perInstance
	figures.PeerBytes = 2 * float64(toPeers-peers) / perInstance
	return nil
}

// passed returns the bytes that passed the gates of a fleet so far.
func passed(f *fleet.Fleet) (platform, peers int64) {
	for _, m := range f.Nodes {
		platform += m.LogGate.Bytes()
		peers += m.PeerGate.Bytes()
	}
	return platform, peers
}

func wait(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
