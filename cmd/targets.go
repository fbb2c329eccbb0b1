package cmd

import (
	"context"
	"net/http"
)

func (a *App) targets() command {
	sub := newSubcommand("targets", "list the targets known to an instance", "targets")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var all []map[string]any
		if err := c.call(ctx, http.MethodGet, "/v1/targets", nil, &all); err != nil {
			return err
		}
		if c.json {
			return a.printJSON(all)
		}
		return a.printObjects(all)
	}}
}
