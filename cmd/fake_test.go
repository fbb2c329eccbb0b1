package cmd_test

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/cmd"
	"cranberryrail/core/roster"
)

// startFake runs a fake until the test ends and returns its address.
func startFake(t *testing.T, args ...string) string {
	t.Helper()
	out, in := io.Pipe()
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	var status int
	g.Go(func() error {
		app := cmd.App{Stdout: in, Stderr: io.Discard}
		status = app.Main(ctx, append([]string{"fake"}, args...))
		return in.Close()
	})
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, g.Wait())
		assert.Equal(t, status, 0)
	})
	line, err := bufio.NewReader(out).ReadString('\n')
	assert.NilError(t, err)
	addr, ok := strings.CutPrefix(strings.TrimSpace(line), "listening on ")
	assert.Assert(t, ok, line)
	return addr
}

func members(t *testing.T, platform string) roster.Members {
	t.Helper()
	resp, err := http.Get("http://" + platform + "/v1/members")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var m roster.Members
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&m))
	return m
}

func TestFakeTargetsRegister(t *testing.T) {
	file := writeFile(t, `{"instances": [{"id": "i-1", "state": "live"}]}`)
	platform := startFake(t, "platform", "--members", file)
	engine := startFake(t, "engine", "--id", "e", "--zone", "a", "--model", "x:1", "--model", "y:2", "--register", "http://"+platform)
	service := startFake(t, "service", "--id", "s", "--service", "claims", "--register", "http://"+platform)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(members(t, platform).Targets) == 2 {
			return poll.Success()
		}
		return poll.Continue("targets are not in the list yet")
	}, poll.WithTimeout(10*time.Second))
	m := members(t, platform)
	assert.Equal(t, m.Instances[0].ID, "i-1")
	e, s := m.Targets[0], m.Targets[1]
	assert.Assert(t, e.Incarnation != "" && s.Incarnation != "")
	e.Incarnation, s.Incarnation = "", ""
	assert.DeepEqual(t, e, roster.Target{
		ID: "e", Zone: "a", Kind: roster.ModelEngine, Addr: engine, State: roster.Live,
		Models: []roster.Model{{Model: "x", Version: "1"}, {Model: "y", Version: "2"}},
	})
	assert.DeepEqual(t, s, roster.Target{ID: "s", Kind: roster.PlainService, Addr: service, State: roster.Live, Service: "claims"})
}

func TestFakeStartErrors(t *testing.T) {
	assertFailed(t, run(t, "fake", "engine", "--register", "http://127.0.0.1:1"), 1, "register engine")
	assertFailed(t, run(t, "fake", "engine", "--listen", "127.0.0.1:x"), 1, "listen on 127.0.0.1:x")
	assertFailed(t, run(t, "fake", "platform", "--members", writeFile(t, `{"x": 1}`)), 1, "load members")
}
