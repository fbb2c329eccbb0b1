package cmd

import (
	"context"

	"cranberryrail/core/roster"
	"cranberryrail/fake/plain"
)

func (a *App) fakeService() command {
	var s plain.Server
	sub := newSubcommand("service", "run a fake plain service",
		"fake service --id booking-1 --zone a --service booking --register http://127.0.0.1:8500")
	f := a.newFakeTarget(sub, roster.PlainService, "service")
	f.entry.Service = "booking"
	sub.String(&f.entry.Service, "s", "service", "Name of the service in the platform's list.")
	return command{sub, func(ctx context.Context) error {
		s.ListenAddr, s.ID, s.Log = f.listen, f.entry.ID, a.newLogger()
		s.Default()
		return f.serve(ctx, s.Run, s.Addr)
	}}
}
