package router

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"testing"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranberryrail/io/meter"
	"cranberryrail/io/opts"
)

const settings = `
[instance]
id = "i"
zone = "a"
[caller]
listen = "127.0.0.1:0"
ready = "127.0.0.1:0"
[store]
address = "127.0.0.1:6000"
`

func parse(t *testing.T, text string) opts.Router {
	t.Helper()
	s, err := opts.ParseRouter([]byte(text))
	assert.NilError(t, err)
	return s
}

// start creates the components of an instance, and then reloads settings if text is not empty. It returns the event of the reload.
func start(t *testing.T, initial, text string) (*Router, map[string]any) {
	t.Helper()
	signals, lines := make(chan os.Signal, 1), &bytes.Buffer{}
	ctx, cancel := context.WithCancel(t.Context())
	r := &Router{Settings: parse(t, initial), Log: zerolog.New(lines), Meter: &meter.Meter{}, ReloadSignals: signals}
	r.Reload = func() (opts.Router, error) { cancel(); return parse(t, text), nil }
	r.Meter.Default()
	r.Default()
	if text == "" {
		cancel()
		return r, nil
	}
	signals <- os.Interrupt
	assert.NilError(t, r.watchReload(ctx))
	event := map[string]any{}
	assert.NilError(t, json.Unmarshal(lines.Bytes(), &event), lines.String())
	return r, event
}

// TestReloadMeansTheSameAsAStart guards against settings that mean something else when they are reloaded: 0 was the default at a start, and 0 on SIGHUP.
func TestReloadMeansTheSameAsAStart(t *testing.T) {
	for _, extra := range []string{"", "[retry]\nratio = 0.0\nslack = 0\n[budget]\ncover_ms = 0\nwait_ms = 0", "[retry]\nratio = 0.5\nslack = 7\n[budget]\ncover_ms = 30"} {
		started, _ := start(t, settings+extra, "")
		s := parse(t, settings+extra)
		assert.DeepEqual(t, []any{started.retries.Ratio, started.retries.Slack, started.budgets.Cover, started.budgets.MaxWait},
			[]any{s.Retry.Ratio, s.Retry.Slack, s.Budget.CoverMS.Duration(), s.Budget.WaitMS.Duration()})
		reloaded, _ := start(t, settings, settings+extra)
		assert.DeepEqual(t, []any{reloaded.retries.Ratio, reloaded.retries.Slack, reloaded.budgets.Cover}, []any{s.Retry.Ratio, s.Retry.Slack, s.Budget.CoverMS.Duration()})
	}
}

// TestReloadNamesNeededRestart guards against changed settings that stay without effect although the event of the reload states that no restart is needed.
func TestReloadNamesNeededRestart(t *testing.T) {
	for extra, want := range map[string][2]bool{
		"": {true, false}, "[retry]\nratio = 0.5\nslack = 7\n[budget]\ncover_ms = 30": {false, false}, "[budget]\nfleet = \"new\"": {true, false},
		"[budget]\nwait_ms = 7": {false, true}, "[retry]\nwindow_s = 7.0": {false, true}, "[peer]\nlisten = \"127.0.0.1:1\"": {false, true}, "[stop]\ngrace_s = 30.0": {false, true},
		"[log]\nlevel = \"debug\"": {false, true}, "[target]\nleave_ms = 700": {false, true}, "[link]\nmbps = 7.0": {false, true}, "[memory]\nlimit_mb = 64.0": {false, true},
	} {
		_, event := start(t, settings, settings+extra)
		assert.DeepEqual(t, [2]any{event["same"], event["restart_needed"]}, [2]any{want[0], want[1]})
	}
}
