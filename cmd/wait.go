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
	// waitTimeout is how long a publish waits for the instances.
	waitTimeout = 10 * time.Second
	// pollInterval is the time between two looks at the instances.
	pollInterval = 100 * time.Millisecond
	// stopping is the state of an instance that a publish does not wait for.
	stopping = "stopping"
)

// UnconfirmedError tells that a change is accepted and some instances did not confirm it.
type UnconfirmedError struct {
	Version int64
	Waiting []string
}

// Error implements the error interface.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("version %d is accepted and not yet confirmed by %s; see %s instances",
		e.Version, strings.Join(e.Waiting, ", "), name)
}

// awaitInForce asks until every instance has the version in force or the time is over. It
// returns the instances that confirmed, and those that did not with their state.
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
			waiting = []string{p.instance + " (does not answer)"}
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

// splitByVersion sorts instances by whether they have the version in force.
func splitByVersion(all []oper.InstanceState, version int64) (inForce, waiting []string) {
	for _, i := range all {
		switch {
		case i.ConfigVersion >= version:
			inForce = append(inForce, i.ID)
		case i.ID == "":
			// An address from the settings at which no instance ever answered.
		case i.State != stopping:
			waiting = append(waiting, fmt.Sprintf("%s (%s, version %d)", i.ID, i.State, i.ConfigVersion))
		}
	}
	return inForce, waiting
}
