package cmd

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"cranberryrail/platform/mixed"
)

func (a *App) soakBuilds() command {
	seed, seeds, seconds, repository, source, dir := uint64(1), 1, int64(60), ".", "", ""
	sub := newSubcommand("builds", "test a fleet of two builds at random, with processes", "soak builds --seed 1 --seconds 60 --dir /tmp/builds")
	sub.UInt64(&seed, "", "seed", "First seed.")
	sub.Int(&seeds, "", "seeds", "Number of seeds; one run per seed.")
	sub.Int64(&seconds, "", "seconds", "Least duration of the load in each run, in seconds.")
	sub.String(&repository, "", "repository", "Repository whose history has the old build, the commit that deploy/system.toml names as production.")
	sub.String(&source, "", "source", "Directory with the source of the new build; that of the repository when empty.")
	sub.String(&dir, "", "dir", "Directory for the builds, and for the settings and logs of the processes.")
	return command{sub, func(ctx context.Context) error {
		if dir == "" {
			return &UsageError{Problem: "--dir is missing; set it to the path of a directory", Path: []string{"soak", sub.Name}}
		}
		if source == "" {
			source = repository
		}
		before, now, err := buildBoth(ctx, repository, source, dir)
		if err != nil {
			return err
		}
		return a.soak(ctx, sub, seed, seeds, seconds, func(seed uint64) soakRun {
			r := &mixed.Run{Old: before, New: now, Dir: filepath.Join(dir, fmt.Sprintf("seed-%d", seed)), Seed: seed, Eras: seed%2 == 1, Duration: time.Duration(seconds) * time.Second}
			r.Default()
			return soakRun{run: r.Run, stats: func() string { return fmt.Sprintf("%+v", r.Report()) }}
		})
	}}
}

// buildBoth builds the version in production and the new one in dir.
func buildBoth(ctx context.Context, repository, source, dir string) (before, now mixed.Build, err error) {
	commit, err := mixed.Production(source)
	if err != nil {
		return before, now, err
	}
	production := filepath.Join(dir, commit)
	if err = os.MkdirAll(production, 0o750); err != nil {
		return before, now, fmt.Errorf("create the directory of builds: %w", err)
	}
	if before, err = mixed.BuildCommit(ctx, repository, commit, production); err != nil {
		return before, now, err
	}
	now, err = mixed.BuildTree(ctx, source, dir)
	return before, now, err
}
