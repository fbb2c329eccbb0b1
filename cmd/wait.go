package cmd

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"

	"cranberryrail/io/oper"
)

const (
	// waitTimeout is the default time that a publish waits for confirmation by the instances.
	waitTimeout = 10 * time.Second
	// pollInterval is the time between two requests for the state of the instances.
	pollInterval = 100 * time.Millisecond
	// stopping is the state of instances that a publish does not wait for.
	stopping = "stopping"
)

// UnconfirmedError reports that a change is accepted but not confirmed by some instances.
type UnconfirmedError struct {
	Version int64
	Waiting []string
}

// Error implements the error interface.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("version %d is accepted but not yet confirmed by %s; see %s instances",
		e.Version, strings.Join(e.Waiting, ", "), name)
}

// awaitInForce polls until every instance has the version in force or the timeout expires. It returns the IDs of the
// instances that confirmed it, and the IDs of the others with their state and version.
func (p *publisher) awaitInForce(ctx context.Context, version int64) (inForce, waiting []string) {
	ctx, cancel := context.WithTimeout(ctx, p.timeout)
	defer cancel()
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		var all []oper.InstanceState
		if err := p.call(ctx, http.MethodGet, "/v1/instances", nil, &all); err == nil {
			inForce, waiting = splitByVersion(all, version)
		} else if len(inForce)+len(waiting) == 0 {
			waiting = []string{p.instance + " (no response)"}
		}
		if len(waiting) == 0 {
			return inForce, waiting
		}
		select {
		case <-ctx.Done():
			return inForce, waiting
		case <-tick.C:
		}
	}
}

// splitByVersion separates the instances that have the version in force from those that are still waited for.
func splitByVersion(all []oper.InstanceState, version int64) (inForce, waiting []string) {
	for _, i := range all {
		switch {
		case i.ConfigVersion >= version:
			inForce = append(inForce, i.ID)
		case i.ID == "":
			// The settings list this address, but no instance has ever responded there.
		case i.State != stopping:
			waiting = append(waiting, fmt.Sprintf("%s (%s, version %d)", i.ID, i.State, i.ConfigVersion))
		}
	}
	return inForce, waiting
}
