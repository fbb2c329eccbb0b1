package cmd_test

import (
	"bufio"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/fake/memlog"
	"cranberryrail/platform"
	"cranberryrail/platform/stubs"
)

// renderRouterSettings returns the router settings template with its sections and placeholders substituted, as the
// platform does at a start that is not the first one of the fleet.
func renderRouterSettings(t *testing.T) string {
	t.Helper()
	template, err := os.ReadFile("../deploy/router.toml")
	assert.NilError(t, err)
	template = regexp.MustCompile(`\{\{#bootstrap}}.*?\{\{/bootstrap}}`).ReplaceAll(template, nil)
	template = regexp.MustCompile(`\{\{\^bootstrap}}(.*?)\{\{/bootstrap}}`).ReplaceAll(template, []byte("$1"))
	template = regexp.MustCompile(`\{\{#zones}}.*?\{\{/zones}}`).ReplaceAll(template, []byte("a=north"))
	template = regexp.MustCompile(`(?s)\{\{#bounds\.cold_over}}\n(.*?)\{\{/bounds\.cold_over}}\n`).ReplaceAll(template, []byte("$1"))
	values := map[string]string{
		"bounds.cold_over": "1.5", "bounds.cold_slack": "5", "node_name|json": `"front-a-1"`, "zone|json": `"a"`, "ip": "127.0.0.1", "listen.front|json": `"127.0.0.1:8227"`,
		"listen.readiness|json": `"127.0.0.1:8220"`, "platform.address|json": `"127.0.0.1:8223"`, "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_window_s": "10", "limits.memory_mb": "134", "platform.parts": "12", "bounds.grace_s": "8", "bounds.drain_ms": "2000", "internal_ports.1": "7355", "limits.link_mbps": "1000.0",
	}
	return regexp.MustCompile(`\{\{([^}]*)\}\}`).ReplaceAllStringFunc(string(template), func(field string) string {
		value, ok := values[field[2:len(field)-2]]
		assert.Assert(t, ok, "no value for placeholder %s", field)
		return value
	})
}

func TestCheckRouterSettings(t *testing.T) {
	assertSucceeded(t, run(t, "check", "--route", "--config", writeFile(t, renderRouterSettings(t))), "settings are valid")
	assertFailed(t, run(t, "check", "--route", "--config", writeFile(t, strings.Replace(renderRouterSettings(t), "shards = 12", "shards = 0", 1))), 1, "budget.shards", "1..64")
	assertFailed(t, run(t, "route"), 2, "--config is missing")
	assertFailed(t, run(t, "route", "--config", writeFile(t, "[caller]")), 1, "instance.id", "store.address")
}

// TestRouteIgnoresUnknownSettings guards against processes that do not start, because the platform filled in their settings from the template of another build.
func TestRouteIgnoresUnknownSettings(t *testing.T) {
	text := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(renderRouterSettings(t), "127.0.0.1:0") + "\n[future]\nkey = 1\n"
	text = strings.Replace(text, `address = "127.0.0.1:0"`, `address = "127.0.0.1:1"`, 1)
	p := startProcess(t, "route", "--config", writeFile(t, text))
	assert.Assert(t, strings.Contains(p.firstLine, `"settings_ignored"`) && strings.Contains(p.firstLine, `"keys":["future"]`), p.firstLine)
}

// TestReloadSignalDuringStop guards against requests that are cut off, because a signal to read the settings again ends a process that is stopping gracefully.
func TestReloadSignalDuringStop(t *testing.T) {
	log := &memlog.Server{}
	store := httptest.NewServer(&stubs.Store{Log: log})
	t.Cleanup(store.Close)
	log.Put(platform.ConfigTopic, 0, platform.ConfigKey, []byte(`{"version":1}`))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ready := l.Addr().String()
	assert.NilError(t, l.Close())
	text := strings.NewReplacer("127.0.0.1:8220", ready, "127.0.0.1:8223", store.Listener.Addr().String(), "127.0.0.1:8227", "127.0.0.1:0",
		"127.0.0.1:7340", "127.0.0.1:0", "127.0.0.1:7355", "127.0.0.1:0").Replace(renderRouterSettings(t))
	p := startProcess(t, "route", "--config", writeFile(t, text))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		resp, err := http.Get("http://" + ready + platform.ReadyPath)
		if err != nil || resp.StatusCode != http.StatusOK {
			return poll.Continue("not ready: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(processTimeout))
	assert.NilError(t, p.Process.Signal(syscall.SIGTERM))
	time.Sleep(200 * time.Millisecond) // the stop takes longer, since the platform still sends requests
	assert.NilError(t, p.Process.Signal(syscall.SIGHUP))
	assert.NilError(t, p.Wait())
}

// TestClosedOutputEndsNoInstance guards against an instance that ends with all its requests because the reader of its log has ended: a write to a closed pipe as
// standard output raises SIGPIPE.
func TestClosedOutputEndsNoInstance(t *testing.T) {
	text := regexp.MustCompile(`127\.0\.0\.1:\d+`).ReplaceAllString(renderRouterSettings(t), "127.0.0.1:0")
	text = strings.Replace(text, `address = "127.0.0.1:0"`, `address = "127.0.0.1:1"`, 1)
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	p := exec.Command(os.Args[0], "route", "--config", writeFile(t, text))
	p.Env, p.Stdout = append(os.Environ(), runAsProgramEnv+"=1"), w
	assert.NilError(t, p.Start())
	assert.NilError(t, w.Close())
	_, err = bufio.NewReader(r).ReadString('\n')
	assert.NilError(t, err)
	assert.NilError(t, r.Close())
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error { ended <- p.Wait(); return nil })
	select {
	case err := <-ended:
		t.Errorf("the process ended: %v", err)
	case <-time.After(2 * time.Second): // several lines are written meanwhile, since the store can't be reached
		assert.NilError(t, p.Process.Kill())
	}
	assert.NilError(t, group.Wait())
}
