package cmd

import (
	"context"

	"cranberryrail/io/oper"
)

func (a *App) set() command {
	var organisation, path, value string
	sub := newSubcommand("set", "change one parameter of an organisation's template",
		"set ndukwe allowance.cover_seconds 1800", "set ndukwe shares.0.weight 3")
	sub.AddPositionalValue(&organisation, "ORG", 1, true, "Organisation.")
	sub.AddPositionalValue(&path, "PATH", 2, true, "Dotted path of the parameter; list elements are addressed by index.")
	sub.AddPositionalValue(&value, "VALUE", 3, true, "Value in TOML, or a bare string.")
	p := a.newPublisher(sub)
	return command{sub, func(ctx context.Context) error {
		now, err := p.template(ctx, organisation)
		if err != nil {
			return err
		}
		t, err := now.Template.Set(path, value)
		if err != nil {
			return a.printFaults(err)
		}
		data, err := t.Encode()
		if err != nil {
			return err
		}
		return p.send(ctx, oper.Change{Organisation: organisation, BasedOn: now.Version, Template: string(data)})
	}}
}
