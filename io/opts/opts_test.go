package opts_test

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"cranberryrail/core/conf"
	"cranberryrail/core/conf/field"
	"cranberryrail/io/opts"
)

var required = fmt.Sprintf(`
[instance]
id = "entry-1"
zone = "a"
[operator]
key_sha256 = "%064d"
[platform]
log_url = "http://127.0.0.1:6000"
list_url = "http://127.0.0.1:6001"
`, 1)

func TestParseAppliesDefaults(t *testing.T) {
	s, err := opts.Parse([]byte(required))
	assert.NilError(t, err)
	assert.Equal(t, s.Caller.BodyBytes, int64(1<<20))
	assert.Equal(t, s.Target.RetryRatio, 0.2)
	assert.Equal(t, s.Stop.TimeoutMS.Duration(), 30*time.Second)
	assert.Equal(t, s.Peer.Advertise, s.Peer.Listen)
	assert.Equal(t, s.Log, opts.Log{Level: opts.Info, Format: opts.JSON})
}

func TestParseReportsFaults(t *testing.T) {
	for _, tc := range []struct{ name, extra, want string }{
		{"unknown key", "[stop]\ntimeout = 5", `stop.timeout (line 11): unknown key; allowed: timeout_ms, notice_ms`},
		{"unknown table", "[stops]", `stops (line 10): unknown key; allowed: instance, caller,`},
		{"wrong type", "[stop]\ntimeout_ms = \"5\"", "stop.timeout_ms (line 11): cannot decode TOML string"},
		{"wrong type states the allowed values", "[stop]\ntimeout_ms = \"5\"", "allowed: integer 1..3600000"},
		{"table instead of a value", "[stop.timeout_ms]", "stop.timeout_ms (line 10)"},
		{"not TOML", "[stop", "(line 10): "},
		{"number out of range", "[once]\nshards = 0", "once.shards: 0 is not allowed; allowed: 1..1024"},
		{"not a number", "[target]\nretry_ratio = nan", "target.retry_ratio: NaN is not allowed; allowed: 0..1"},
		{"invalid list element", "[peer]\nseeds = [\"127.0.0.1:1\", \"host:1\"]", `peer.seeds[1]: "host:1" is not allowed; allowed: ip:port`},
		{"enum", "[log]\nlevel = \"loud\"", `log.level: "loud" is not allowed; allowed: debug|info|warn|error`},
		{"notice longer than the stop", "[stop]\nnotice_ms = 30000", "stop.notice_ms: 30000 is not allowed; allowed: less than"},
		{"unspecified address", "[peer]\nlisten = \"0.0.0.0:7000\"", "peer.advertise"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := opts.Parse([]byte(required + tc.extra))
			assert.ErrorContains(t, err, tc.want)
		})
	}
	t.Run("reports all faults", func(t *testing.T) {
		_, err := opts.Parse([]byte("[stop]\ntimeout = 5\nnotice_ms = -1"))
		var faults *field.FaultError
		assert.Assert(t, errors.As(err, &faults))
		assert.Equal(t, len(faults.Faults), 7, "%v", err)
	})
}

const router = `
[instance]
id = "entry-1"
zone = "a"
[caller]
listen = "127.0.0.1:8080"
ready = "127.0.0.1:8081"
[store]
address = "127.0.0.1:6000"
`

func TestParseRouter(t *testing.T) {
	s, err := opts.ParseRouter([]byte(router))
	assert.NilError(t, err)
	assert.Equal(t, s.Stop.GraceS.Duration(), 8*time.Second)
	assert.Equal(t, s.Stop.NoticeS.Duration(), 2800*time.Millisecond)
	assert.Equal(t, s.Metrics.Listen, "")
	for _, tc := range []struct{ name, extra, want string }{
		{"unknown key", "[stop]\ngrace = 5", "stop.grace (line 11): unknown key"},
		{"wrong type", "[retry]\nratio = \"much\"", "retry.ratio (line 11)"},
		{"out of range", "[budget]\nshards = 0", "budget.shards: 0 is not allowed; allowed: 1..64"},
		{"notice longer than the stop", "[stop]\ngrace_s = 2", "stop.notice_s: 2.8 is not allowed; allowed: less than stop.grace_s, which is 2"},
		{"integer for a float", "[memory]\nlimit_mb = 16", "memory.limit_mb: 16 is not allowed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := opts.ParseRouter([]byte(router + tc.extra))
			assert.ErrorContains(t, err, tc.want)
		})
	}
	t.Run("reports all missing required keys", func(t *testing.T) {
		_, err := opts.ParseRouter(nil)
		for _, key := range []string{"instance.id", "instance.zone", "caller.listen", "caller.ready", "store.address"} {
			assert.ErrorContains(t, err, key)
		}
	})
}

func TestLoadReportsPath(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.toml")
	_, err := opts.Load(path)
	assert.ErrorContains(t, err, path)
	assert.NilError(t, os.WriteFile(path, []byte(required), 0o600))
	_, err = opts.Load(path)
	assert.NilError(t, err)
}

const page = `# Settings

The settings of one process are a TOML file. A key that is not in its table, a value of another type or outside
of what is allowed stops the process before it does any work. The error names the path of the key and what is allowed,
and the line of an unknown key or wrong type.
A key without a default must be given, but for lists, which are empty. For a string, what is allowed is a regular
expression for the whole value, or a form of address. Tables in the file are the parts of the key before its last dot.
The tables of this page are written by ` + "`go test ./io/opts -update`" + ` from the tags in the code, and a test holds them to it.

## Settings of a process

%s
## Settings of an instance on the users' platform

Of ` + "`cranberryrail route`" + `; [deploy/router.toml](../deploy/router.toml) fills them in. There, a key that is not in its table is logged (1013) and
ignored, since the file may come from a newer build; ` + "`cranberryrail check --route`" + ` reports it.

%s
## Parameters of a template

Operators publish one template for each organisation, in the same form. ` + "`[]`" + ` stands for each element of a list.

%s`

func table(rows []field.KeySpec) string {
	var b strings.Builder
	b.WriteString("| key | type | unit | default | allowed | meaning |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, r := range rows {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s | %s |\n", r.Path, r.Type, r.Unit, quote(r.Default), quote(r.Allowed), r.Doc)
	}
	return b.String()
}

func quote(s string) string {
	if s == "" {
		return ""
	}
	return "`" + strings.ReplaceAll(s, "|", `\|`) + "`"
}

func TestSettingsPage(t *testing.T) {
	settings, router, template := field.KeySpecs(&opts.Settings{}), field.KeySpecs(&opts.Router{}), field.KeySpecs(&conf.Template{})
	for _, r := range slices.Concat(settings, router, template) {
		assert.Assert(t, r.Doc != "" && r.Allowed != "", "key %s has no doc or allowed tag", r.Path)
	}
	golden.Assert(t, fmt.Sprintf(page, table(settings), table(router), table(template)), "../../../docs/SETTINGS.md")
}
