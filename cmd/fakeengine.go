package cmd

import (
	"context"
	"fmt"
	"strings"
	"time"

	"cranberryrail/core/roster"
	"cranberryrail/fake/engine"
)

func (a *App) fakeEngine() command {
	var s engine.Server
	var models []string
	var firstTokenMS, tokenGapMS int64
	sub := newSubcommand("engine", "run a fake model engine",
		"fake engine --id engine-1 --zone a --model draft:1 --capacity 16 --register http://127.0.0.1:8500")
	f := a.newFakeTarget(sub, roster.ModelEngine, "engine")
	sub.StringSlice(&models, "m", "model", "Model and version to serve, as name:version; repeatable; default draft:1.")
	sub.Int(&s.Capacity, "", "capacity", "Maximum concurrent requests; 0 selects the default.")
	sub.Int64(&firstTokenMS, "", "first-token-ms", "Time to the first token, in milliseconds.")
	sub.Int64(&tokenGapMS, "", "token-gap-ms", "Time between two tokens, in milliseconds.")
	return command{sub, func(ctx context.Context) error {
		for _, text := range models {
			m, err := parseModel(text)
			if err != nil {
				return err
			}
			s.Models = append(s.Models, m)
		}
		s.ListenAddr, s.ID, s.Log = f.listen, f.entry.ID, a.newLogger()
		s.FirstToken = time.Duration(firstTokenMS) * time.Millisecond
		s.TokenGap = time.Duration(tokenGapMS) * time.Millisecond
		s.Default()
		f.entry.Models = s.Models
		return f.serve(ctx, s.Run, s.Addr)
	}}
}

// parseModel parses name:version; the name may contain colons.
func parseModel(text string) (roster.Model, error) {
	i := strings.LastIndex(text, ":")
	if i <= 0 || i == len(text)-1 {
		return roster.Model{}, &UsageError{
			Problem: fmt.Sprintf("--model %q does not have the form name:version, such as draft:1", text), Path: []string{"fake", "engine"},
		}
	}
	return roster.Model{Model: text[:i], Version: text[i+1:]}, nil
}
