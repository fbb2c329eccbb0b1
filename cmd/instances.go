package cmd

import (
	"context"
	"net/http"

	"cranberryrail/io/oper"
)

func (a *App) instances() command {
	sub := newSub("instances", "list the instances with the version in force at each", "instances")
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
			rows = append(rows, []any{i.ID, i.Zone, i.State, i.ConfigVersion, i.LogReached, i.InFlight, i.PeerAddr})
		}
		return a.printTable([]string{"id", "zone", "state", "version", "log reached", "in flight", "peer address"}, rows)
	}}
}
