package cmd

import (
	"context"

	"cranberryrail/io/oper"
)

func (a *App) remove() command {
	var organisation string
	sub := newSubcommand("remove", "remove an organisation's template", "remove ndukwe")
	sub.AddPositionalValue(&organisation, "ORG", 1, true, "Organisation.")
	p := a.newPublisher(sub)
	return command{sub, func(ctx context.Context) error {
		now, err := p.template(ctx, organisation)
		if err != nil {
			return err
		}
		return p.send(ctx, oper.Change{Organisation: organisation, BasedOn: now.Version, Remove: true})
	}}
}
