package cmd

import (
	"context"
	"net/http"
	"strings"
	"time"

	"cranberryrail/io/oper"
)

func (a *App) instances() command {
	sub := newSubcommand("instances", "list the instances and their configuration versions", "instances")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var all []oper.InstanceState
		if err := c.call(ctx, http.MethodGet, "/v1/instances", nil, &all); err != nil {
			return err
		}
		if c.json {
			return a.printJSON(all)
		}
		rows := make([][]any, 0, len(all))
		for _, i := range all {
			rows = append(rows, []any{i.ID, i.Zone, i.State, i.ConfigVersion, configAge(i), i.LogReached, i.InFlight, i.PeerAddr})
		}
		return a.printTable([]string{"id", "zone", "state", "version", "config age", "log reached", "in flight", "peer address"}, rows)
	}}
}

// configAge returns the time since the configuration of an instance was last known to be the newest.
func configAge(i oper.InstanceState) string {
	age := (time.Duration(i.ConfigAgeMS) * time.Millisecond).Round(100 * time.Millisecond).String()
	switch {
	case len(i.Stalled) > 0:
		return age + " (not followed: " + strings.Join(i.Stalled, ", ") + ")"
	case i.Stale:
		return age + " (stale)"
	default:
		return age
	}
}
