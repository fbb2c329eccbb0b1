package cmd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"cranberryrail/core/roster"
	"cranberryrail/fake/platf"
)

func (a *App) fakePlatform() command {
	s := platf.Server{ListenAddr: anyLocalAddr, AppendsPerSecond: platf.DefaultAppendsPerSecond}
	var lagMS int64
	var members string
	sub := newSubcommand("platform", "run a fake platform with its log and list",
		"fake platform --listen 127.0.0.1:8500 --list-lag-ms 2000 --members members.json")
	sub.String(&s.ListenAddr, "l", "listen", "Address to listen on; port 0 selects a free port.")
	sub.Int(&s.Retention, "", "retention", "Number of records retained per stream; 0 retains all.")
	sub.Float64(&s.AppendsPerSecond, "", "appends-per-second", "Append rate limit over all streams.")
	sub.Int64(&lagMS, "", "list-lag-ms", "Delay of the list behind changes, in milliseconds.")
	sub.String(&members, "m", "members", "JSON file with the initial instances and targets of the list.")
	return command{sub, func(ctx context.Context) error {
		s.ListLag, s.Log = time.Duration(lagMS)*time.Millisecond, a.newLogger()
		s.Default()
		if members != "" {
			if err := loadMembers(&s, members); err != nil {
				return fmt.Errorf("load members file; check its path and that it holds a JSON object with instances and targets: %w", err)
			}
		}
		if err := s.Listen(ctx); err != nil {
			return err
		}
		g, ctx := errgroup.WithContext(ctx)
		g.Go(func() error { return s.Run(ctx) })
		a.printListening(s.Addr())
		return g.Wait()
	}}
}

func loadMembers(s *platf.Server, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	loaded := roster.Members{Instances: []roster.Instance{}, Targets: []roster.Target{}}
	d := json.NewDecoder(file)
	d.DisallowUnknownFields()
	if err := d.Decode(&loaded); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	s.EditMembers(func(m *roster.Members) { *m = loaded })
	return nil
}
