package router

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strings"
	"time"

	"cranberryrail/core/budget"
	"cranberryrail/core/events"
	"cranberryrail/core/origin"
	"cranberryrail/core/poison"
	"cranberryrail/core/rate"
	"cranberryrail/core/roster"
)

// StatePath is the path at which the metrics listener serves State.
const StatePath = "/state"

// State is the state of an instance as shown to operators.
type State struct {
	Instance    string `json:"instance"`
	Incarnation string `json:"incarnation"`
	Zone        string `json:"zone"`
	Ready       bool   `json:"ready"`
	Stopping    bool   `json:"stopping"`
	InFlight    int64  `json:"in_flight"`
	// ConfigVersion is the version of the configuration in force, 0 without one, and ConfigAgeMS the
	// time since it came into force.
	ConfigVersion int64 `json:"config_version"`
	ConfigAgeMS   int64 `json:"config_age_ms"`
	// LostMS maps each unreachable topic of the platform's log to how long it has been unreachable.
	LostMS map[string]int64 `json:"lost_ms"`
	// Targets are the targets that requests may be sent to, and those that are leaving.
	Targets []roster.Target  `json:"targets"`
	Budgets []budget.Balance `json:"budgets"`
	// Quarantines are what requests have in common that are not sent, because requests like them have crashed targets.
	Quarantines []poison.Quarantine `json:"quarantines"`
	// RateLimits are the rate limits that targets have named.
	RateLimits []rate.Limit `json:"rate_limits"`
	// Versions is how the streams of services are known, by the software versions of their targets.
	Versions []origin.State `json:"versions"`
	// Unreachable are the services of which this instance reaches no target.
	Unreachable []string `json:"unreachable"`
	// Evacuated are the zones to whose targets no new request is sent.
	Evacuated []EvacuatedZone `json:"evacuated"`
}

// State returns the current state of the instance.
func (r *Router) State() State {
	s := State{
		Instance: r.Settings.Instance.ID, Incarnation: r.Incarnation, Zone: r.Settings.Instance.Zone, Ready: r.Ready(), Stopping: !r.running.Load(),
		InFlight: r.entry.InFlight(), LostMS: map[string]int64{}, Budgets: r.budgetSync.Balances(), Quarantines: r.crashes.Quarantines(), RateLimits: r.rates.Limits(), Versions: r.origins.States(), Unreachable: r.detours.CutServices(), Evacuated: r.evacuated(),
	}
	if t := r.table.Current(); t != nil {
		s.ConfigVersion = t.Version
		s.ConfigAgeMS = time.Since(time.Unix(0, r.configAppliedAt.Load())).Milliseconds()
	}
	r.unreachableTopics.Range(func(topic, since any) bool {
		s.LostMS[topic.(string)] = time.Since(since.(time.Time)).Milliseconds()
		return true
	})
	r.listMu.Lock()
	defer r.listMu.Unlock()
	s.Targets = slices.SortedFunc(slices.Values(r.list.Targets()), func(a, b roster.Target) int {
		return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.ID, b.ID))
	})
	return s
}

// serveState serves the state as JSON.
func (r *Router) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(r.State()); err != nil {
		events.Log(r.Log, events.StateUnsent).Err(err).Send()
	}
}
