package cmd

import (
	"context"
	"net/http"
	"net/url"
)

func (a *App) report() command {
	var report string
	sub := newSubcommand("report", "print a report of an instance as JSON", "report burn")
	sub.AddPositionalValue(&report, "NAME", 1, true, "Name of the report, such as burn; an instance refuses an unknown name.")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var v any
		if err := c.call(ctx, http.MethodGet, "/v1/reports/"+url.PathEscape(report), nil, &v); err != nil {
			return err
		}
		return a.printJSON(v)
	}}
}
