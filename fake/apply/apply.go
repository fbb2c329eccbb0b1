// Package apply measures how long a configuration change takes to be applied at all instances of a fleet, and how much
// CPU time and network traffic an idle instance uses. The fleet runs in one process.
package apply

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
	// pollInterval is the interval at which the applied configuration versions are polled.
	pollInterval = time.Millisecond
	// changeInterval is the pause between two changes.
	changeInterval = 50 * time.Millisecond
	// fleetTimeout bounds all measurements of one fleet.
	fleetTimeout = 5 * time.Minute
)

// Result holds the measurements for one fleet size.
type Result struct {
	Instances int
	// P50, P99 and Max are the times from the acceptance of a change until all instances have applied it.
	P50, P99, Max time.Duration
	// PlatformBytes and PeerBytes are the bytes per second that an idle instance exchanges with the platform and with
	// other instances, in both directions together.
	PlatformBytes, PeerBytes float64
	// CPUCores is the number of CPU cores that an idle instance uses, including its share of the fake platform and
	// engines.
	CPUCores float64
}

// Bench is one measurement. The exported fields must be set before Run.
type Bench struct {
	// Instances lists the fleet sizes to measure.
	Instances []int
	// Targets is the number of engines whose load every instance polls.
	Targets int
	// Changes is the number of configuration changes to time.
	Changes int
	// Settle is the time without load before a fleet is measured, so that its instances detect that they are idle.
	Settle time.Duration
	// Idle is the duration of each measurement of an idle fleet.
	Idle time.Duration
	// Out receives the table of results in Markdown.
	Out io.Writer
	// Results holds the results after Run has returned.
	Results []Result
}

// String identifies the measurement in logs.
func (b *Bench) String() string {
	return fmt.Sprintf("configuration propagation in fleets of %v instances", b.Instances)
}

// Default sets the defaults of unset fields.
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

// Run measures the fleets one after another. After each it appends the result to Results and writes its row of the
// table of results to Out. It stops at the first error; earlier results and rows stay.
func (b *Bench) Run(ctx context.Context) error {
	_, err := fmt.Fprint(b.Out, "| instances | targets | in force p50 ms | p99 ms | longest ms | platform bytes/s per instance | peer bytes/s per instance | core % per instance |\n",
		"| --: | --: | --: | --: | --: | --: | --: | --: |\n")
	if err != nil {
		return err
	}
	for _, n := range b.Instances {
		result, err := b.measure(ctx, n)
		if err != nil {
			return fmt.Errorf("measure a fleet of %d instances: %w", n, err)
		}
		b.Results = append(b.Results, result)
		_, err = fmt.Fprintf(b.Out, "| %d | %d | %.1f | %.1f | %.1f | %.0f | %.0f | %.2f |\n", n, b.Targets,
			millis(result.P50), millis(result.P99), millis(result.Max), result.PlatformBytes, result.PeerBytes,
			100*result.CPUCores)
		if err != nil {
			return err
		}
	}
	return nil
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// measure measures one fleet size: the traffic in a fleet with proxies, and everything else in a fleet without proxies.
func (b *Bench) measure(ctx context.Context, n int) (Result, error) {
	result := Result{Instances: n}
	err := b.withFleet(ctx, n, false, func(ctx context.Context, f *fleet.Fleet) error {
		if err := b.measureIdleCPU(ctx, &result); err != nil {
			return err
		}
		return b.timeChanges(ctx, f, &result)
	})
	if err != nil {
		return result, err
	}
	err = b.withFleet(ctx, n, true, func(ctx context.Context, f *fleet.Fleet) error {
		return b.measureIdleTraffic(ctx, f, &result)
	})
	return result, err
}

// withFleet starts a fleet, publishes a template, waits for the settle time, calls run and closes the fleet. The
// context of all these steps ends after fleetTimeout.
func (b *Bench) withFleet(ctx context.Context, n int, proxied bool, run func(ctx context.Context, f *fleet.Fleet) error) error {
	ctx, cancel := context.WithTimeout(ctx, fleetTimeout)
	defer cancel()
	f := &fleet.Fleet{Instances: n, Engines: b.Targets, Proxied: proxied, Log: zerolog.Nop()}
	f.Default()
	defer f.Close()
	if err := f.Start(ctx); err != nil {
		return err
	}
	if err := f.Publish(ctx, f.Members[0], "first", template(0)); err != nil {
		return err
	}
	if err := sleep(ctx, b.Settle); err != nil {
		return err
	}
	return run(ctx, f)
}

func template(priority int) string {
	return fmt.Sprintf("organisation = \"acme\"\npriority = %d\n", priority)
}

// timeChanges measures the time from the acceptance of each change until all instances have applied it.
func (b *Bench) timeChanges(ctx context.Context, f *fleet.Fleet, result *Result) error {
	const priorities = 10
	times := make([]time.Duration, 0, b.Changes)
	version := f.Members[0].ConfigVersion()
	for i := range b.Changes {
		publisher := f.Members[i%len(f.Members)]
		outcome, err := publisher.Conf.Publish(conf.PublishRequest{
			ID: fmt.Sprint("change", i), Organisation: "acme", BasedOn: version, Body: []byte(template(i % priorities)),
		}, false)
		if err == nil {
			err = outcome.Err()
		}
		if err != nil {
			return err
		}
		accepted := time.Now()
		version = outcome.Version
		if err := awaitVersion(ctx, f, version); err != nil {
			return err
		}
		times = append(times, time.Since(accepted))
		if err := sleep(ctx, changeInterval); err != nil {
			return err
		}
	}
	slices.Sort(times)
	quantile := func(share float64) time.Duration { return times[min(int(share*float64(len(times))), len(times)-1)] }
	result.P50, result.P99, result.Max = quantile(0.5), quantile(0.99), times[len(times)-1]
	return nil
}

// awaitVersion waits until all instances have applied a configuration version.
func awaitVersion(ctx context.Context, f *fleet.Fleet, version int64) error {
	for _, m := range f.Members {
		for m.ConfigVersion() < version {
			if err := sleep(ctx, pollInterval); err != nil {
				return err
			}
		}
	}
	return nil
}

// measureIdleCPU measures the CPU time of an idle fleet.
func (b *Bench) measureIdleCPU(ctx context.Context, result *Result) error {
	cpuBefore, started := usage.CPUTime(), time.Now()
	if err := sleep(ctx, b.Idle); err != nil {
		return err
	}
	result.CPUCores = (usage.CPUTime() - cpuBefore).Seconds() / time.Since(started).Seconds() /
		float64(result.Instances)
	return nil
}

// measureIdleTraffic measures the bytes that an idle fleet sends and receives. Traffic between two instances counts
// for both of them.
func (b *Bench) measureIdleTraffic(ctx context.Context, f *fleet.Fleet, result *Result) error {
	platformBefore, peersBefore := forwardedBytes(f)
	started := time.Now()
	if err := sleep(ctx, b.Idle); err != nil {
		return err
	}
	platformAfter, peersAfter := forwardedBytes(f)
	instanceSeconds := time.Since(started).Seconds() * float64(result.Instances)
	result.PlatformBytes = float64(platformAfter-platformBefore) / instanceSeconds
	result.PeerBytes = 2 * float64(peersAfter-peersBefore) / instanceSeconds
	return nil
}

// forwardedBytes returns the bytes that the proxies of a fleet have forwarded so far.
func forwardedBytes(f *fleet.Fleet) (platform, peers int64) {
	for _, m := range f.Members {
		platform += m.LogProxy.Bytes()
		peers += m.PeerProxy.Bytes()
	}
	return platform, peers
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
