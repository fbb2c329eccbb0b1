package cmd_test

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"cranberryrail/cmd"
	"cranberryrail/fake/memlog"
	"cranberryrail/platform"
	"cranberryrail/platform/stubs"
)

func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

func TestStateOmitsAPIKeys(t *testing.T) {
	log := &memlog.Server{}
	store := httptest.NewServer(&stubs.Store{Log: log})
	defer store.Close()
	log.Put(platform.ConfigTopic, 0, platform.ConfigKey, []byte(`{"version":7,"routes":[],"services":[{"name":"claims"}],"limits":{},
		"tenants":[{"name":"travel","api_keys":["secret-key"],"prepaid":5000},{"name":"open","api_keys":["k2"]}]}`))
	log.Put(platform.TargetTopic, 0, "t0", stubs.TargetRecord("claims", "127.0.0.1:1", "ready", 1))
	metrics := freeAddr(t)
	path := writeFile(t, fmt.Sprintf("[instance]\nid = \"i\"\nzone = \"a\"\n[caller]\nlisten = %q\nready = %q\n[store]\naddress = %q\n[metrics]\nlisten = %q\n[stop]\ngrace_s = 2\nnotice_s = 0.1\n",
		freeAddr(t), freeAddr(t), store.Listener.Addr(), metrics))
	ctx, cancel := context.WithCancel(t.Context())
	var g errgroup.Group
	var out, errs bytes.Buffer
	g.Go(func() error {
		if status := (&cmd.App{Stdout: &out, Stderr: &errs}).Main(ctx, []string{"route", "--config", path}); status != 0 {
			return fmt.Errorf("exit status %d: %s", status, &errs)
		}
		return nil
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(run(t, "state", "--json", "--instance", "http://"+metrics).out, `"ready": true`) {
			return poll.Success()
		}
		return poll.Continue("not ready")
	}, poll.WithTimeout(10*time.Second), poll.WithDelay(20*time.Millisecond))
	r := run(t, "state", "--instance", "http://"+metrics)
	assertSucceeded(t, r, "config version", "7", "t0", "claims", "travel", "5000", "unlimited")
	assert.Assert(t, !strings.Contains(r.out, "secret-key"))
	cancel()
	assert.NilError(t, g.Wait())
}
