package cmd

import (
	"context"

	"cranberryrail/core/conf"
)

func (a *App) templates() command {
	var organisation string
	sub := newSubcommand("templates", "list the templates in force, or print one as TOML",
		"templates", "templates ndukwe > ndukwe.toml")
	sub.AddPositionalValue(&organisation, "ORG", 1, false, "Print the template of this organisation.")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		if organisation != "" {
			return c.printTemplate(ctx, organisation)
		}
		all, err := c.templates(ctx)
		if err != nil {
			return err
		}
		if c.json {
			return a.printJSON(all)
		}
		rows := make([][]any, 0, len(all))
		for _, p := range all {
			rows = append(rows, templateRow(p))
		}
		return a.printTable([]string{"organisation", "version", "priority", "models", "services", "budgets", "policy"}, rows)
	}}
}

func templateRow(p conf.PublishedTemplate) []any {
	t := p.Template
	return []any{t.Organisation, p.Version, t.Priority, len(t.Models), len(t.Services), len(t.Budgets), t.Allowance.Policy}
}

func (c *client) printTemplate(ctx context.Context, organisation string) error {
	p, err := c.template(ctx, organisation)
	if err != nil {
		return err
	}
	if c.json {
		return c.app.printJSON(p)
	}
	data, err := p.Template.Encode()
	if err != nil {
		return err
	}
	c.app.printf("# version %d\n%s", p.Version, data)
	return nil
}
