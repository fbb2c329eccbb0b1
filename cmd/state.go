package cmd

import (
	"context"
	"maps"
	"net/http"
	"slices"

	"cranberryrail/core/table"
	"cranberryrail/io/router"
)

func (a *App) state() command {
	sub := newSubcommand("state", "show the state of an instance on the users' platform", "state --instance http://127.0.0.1:7340")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var s router.State
		if err := c.call(ctx, http.MethodGet, router.StatePath, nil, &s); err != nil {
			return err
		}
		if c.json {
			return a.printJSON(s)
		}
		return a.printState(s)
	}}
}

// printState prints the state of the instance, its targets, its budgets and, if there are any, its quarantines and rate limits as tables.
func (a *App) printState(s router.State) error {
	rows := [][]any{
		{"instance", s.Instance}, {"incarnation", s.Incarnation}, {"zone", s.Zone}, {"ready", s.Ready}, {"stopping", s.Stopping},
		{"in flight", s.InFlight}, {"config version", s.ConfigVersion}, {"config age ms", s.ConfigAgeMS},
	}
	for _, topic := range slices.Sorted(maps.Keys(s.LostMS)) {
		rows = append(rows, []any{"lost ms " + topic, s.LostMS[topic]})
	}
	if err := a.printTable([]string{"what", "is"}, rows); err != nil {
		return err
	}
	rows = rows[:0]
	for _, t := range s.Targets {
		rows = append(rows, []any{t.ID, t.Service, t.Zone, t.Addr, t.State})
	}
	if err := a.printTable([]string{"target", "service", "zone", "address", "state"}, rows); err != nil {
		return err
	}
	rows = rows[:0]
	for _, b := range s.Budgets {
		paid := any(b.Paid)
		if b.Paid == table.Unlimited {
			paid = "unlimited"
		}
		rows = append(rows, []any{b.Organisation, paid, b.Granted, b.Free, b.Promised, b.Reserved, b.AgeMS, b.LogReachable})
	}
	if err := a.printTable([]string{"organisation", "paid", "granted", "free", "promised", "reserved", "age ms", "reached"}, rows); err != nil {
		return err
	}
	return a.printExceptions(s)
}

// printExceptions prints the quarantines, the rate limits of targets, the software versions of services and the services that are unreachable as tables,
// unless there are none.
func (a *App) printExceptions(s router.State) error {
	if err := a.printServices(s); err != nil {
		return err
	}
	if len(s.Quarantines) > 0 {
		rows := make([][]any, 0, len(s.Quarantines))
		for _, q := range s.Quarantines {
			rows = append(rows, []any{q.Trait, q.Part, q.Crashes, q.Probes, q.NextProbeMS})
		}
		if err := a.printTable([]string{"quarantined", "part", "crashes", "probes", "next probe ms"}, rows); err != nil {
			return err
		}
	}
	if len(s.RateLimits) == 0 {
		return nil
	}
	rows := make([][]any, 0, len(s.RateLimits))
	for _, l := range s.RateLimits {
		rows = append(rows, []any{l.Target, l.PerSecond, l.SharePerSecond})
	}
	return a.printTable([]string{"rate limited", "per second", "share of this instance"}, rows)
}

// printServices prints the software versions of services, and the services that are unreachable.
func (a *App) printServices(s router.State) error {
	if len(s.Versions) > 0 {
		rows := make([][]any, 0, len(s.Versions))
		for _, v := range s.Versions {
			rows = append(rows, []any{v.Service, v.Mode, v.Version})
		}
		if err := a.printTable([]string{"streams of service", "mode", "software"}, rows); err != nil {
			return err
		}
	}
	if len(s.Unreachable) == 0 {
		return nil
	}
	rows := make([][]any, 0, len(s.Unreachable))
	for _, service := range s.Unreachable {
		rows = append(rows, []any{service})
	}
	return a.printTable([]string{"unreachable service"}, rows)
}
