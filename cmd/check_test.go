package cmd_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/cmd"
	"cranberryrail/core/audit"
	"cranberryrail/core/conf"
	"cranberryrail/fake/memlog"
	"cranberryrail/platform"
	"cranberryrail/platform/stubs"
)

const (
	// warnedConfig is a configuration of the platform with a warning in line 2, and faultyConfig one with an error there.
	warnedConfig = "{\"version\":5,\"limits\":{\"max_body_bytes\":9},\n\"services\":[{\"name\":\"s\"}]}"
	faultyConfig = "{\"version\":5,\"limits\":{\"max_body_bytes\":9},\n\"tenants\":[{\"name\":\"\",\"api_keys\":[\"k\"]}]}"
)

// TestCheckExitStatus guards against scripts that take a faulty or unreadable configuration for a valid one.
func TestCheckExitStatus(t *testing.T) {
	warned, faulty := writeFile(t, warnedConfig), writeFile(t, faultyConfig)
	assertSucceeded(t, run(t, "check", warned), warned+`:2: warning: services[0]: no route names the service "s"; its targets get no requests`, "0 error(s), 1 warning(s)")
	r := run(t, "check", faulty)
	assertFailed(t, r, 1, faulty+" is invalid: 1 fault(s)")
	assertContains(t, r.out, faulty+":2: error: tenants[0].name: the name is missing")
	missing := filepath.Join(t.TempDir(), "missing")
	for _, args := range [][]string{
		{missing}, {warned, "--against", missing}, {warned, "--against", writeFile(t, "{")}, {warned, "--against", "in-force"}, {warned, "--against", "in-force", "--config", missing},
		{warned, "--format", "xml"}, {"--against", warned, "--config", warned}, {"../examples/travel.toml", "--against", "in-force", "--config", missing},
	} {
		assertFailed(t, run(t, append([]string{"check"}, args...)...), 2)
	}
}

// TestCheckJSON guards against output that scripts can't read.
func TestCheckJSON(t *testing.T) {
	for _, text := range []string{warnedConfig, faultyConfig, "{", "colour = 1"} {
		r := run(t, "check", writeFile(t, text), "--format", "json")
		var result struct {
			Findings []audit.Finding
			Changes  []audit.Change
		}
		decoder := json.NewDecoder(strings.NewReader(r.out))
		assert.NilError(t, decoder.Decode(&result))
		assert.Assert(t, len(result.Findings) > 0 && result.Findings[0].Line > 0 && result.Changes != nil, r.out)
		assert.Equal(t, r.status, min(audit.Errors(result.Findings), 1))
	}
}

// TestCheckColours guards against control characters in files and pipes.
func TestCheckColours(t *testing.T) {
	for _, terminal := range []bool{false, true} {
		var out bytes.Buffer
		app := cmd.App{Stdout: &out, Stderr: io.Discard, IsTerminal: func(io.Writer) bool { return terminal }, Getenv: func(string) string { return "" }}
		assert.Equal(t, app.Main(t.Context(), []string{"check", writeFile(t, faultyConfig)}), 1)
		assert.Equal(t, strings.Contains(out.String(), "\x1b[31merror\x1b[0m: tenants"), terminal, out.String())
	}
}

// TestCheckAgainstVersionInForce guards against a configuration that instances ignore, because its version is not higher than that in the log.
func TestCheckAgainstVersionInForce(t *testing.T) {
	log := &memlog.Server{}
	store := httptest.NewServer(&stubs.Store{Log: log})
	t.Cleanup(store.Close)
	settings := writeFile(t, strings.ReplaceAll(renderRouterSettings(t), "127.0.0.1:8223", store.Listener.Addr().String()))
	file := writeFile(t, warnedConfig)
	check := func() runResult { return run(t, "check", file, "--against", "in-force", "--config", settings) }
	assertFailed(t, check(), 2, "the log has no configuration")
	log.Put(platform.ConfigTopic, 0, platform.ConfigKey, []byte(`{"version":6,"services":[{"name":"old"}]}`))
	r := check()
	assertFailed(t, r, 1)
	assertContains(t, r.out, ":1: error: version: the version 5 is lower than version 6, which is in force", "in-force:1: removed: services[0]", ":2: added: services[0]", "3 change(s) from in-force")
	store.Close()
	assertFailed(t, check(), 2, "read the version in force")
}

// TestCheckTemplate guards against faults and changes of a template that are reported with a wrong key or line.
func TestCheckTemplate(t *testing.T) {
	const sound = "organisation = \"a\"\nkeys_sha256 = []\n[[models]]\nmodel = \"m\"\n[[models]]\nmodel = \"n\"\nversions = [\n  \"1\",\n  \"2\"\n]\n[allowance]\npolicy = \"fixed\"\n"
	for _, tc := range []struct{ old, text, want string }{
		{"", "", ":2: warning: keys_sha256: the organisation has no keys"},
		{"\"a\"", "\"A\"", ":1: error: organisation: \"A\" is not allowed"},
		{"\"n\"", "\"m\"", ":6: error: models[1].model: \"m\" stands twice"},
		{"\"2\"", "\"?\"", ":9: error: models[1].versions[1]: \"?\" is not allowed"},
		{"fixed", "none", ":12: error: allowance.policy: \"none\" is not allowed"},
		{"policy", "colour", ":12: error: allowance.colour: unknown key"},
		{"\"fixed\"", "1", ":12: error: allowance.policy: cannot decode TOML integer"},
		{"[allowance]", "[allowance", ":11: error: document: "},
		{"[[models]]\nmodel = \"m\"\n[[models]]\nmodel = \"n\"\nversions = [\n  \"1\",\n  \"2\"\n]\n", "", ": warning: models: the organisation has neither models nor services"},
	} {
		t.Run(tc.want, func(t *testing.T) {
			assertContains(t, run(t, "check", writeFile(t, strings.Replace(sound, tc.old, tc.text, 1))).out, tc.want)
		})
	}
	t.Run("changes", func(t *testing.T) {
		changed := strings.NewReplacer("\"fixed\"", "\"adaptive\"", "\"2\"", "\"3\"").Replace(sound)
		r := run(t, "check", writeFile(t, changed), "--against", writeFile(t, sound))
		assertSucceeded(t, r, `:12: changed: allowance.policy: "fixed" -> "adaptive"`, `:9: changed: models[1].versions[1]: "2" -> "3"; requests for models`, "2 change(s)")
	})
}

// FuzzCheckTemplate guards against a template that crashes the check, or whose keys have no line of it.
func FuzzCheckTemplate(f *testing.F) {
	f.Add([]byte("organisation = \"a\"\n[[models]]\nmodel = \"m\"\nversions = [\"1\", [\"2\"]]\n[allowance]\na.b.c = {d = [{}]}"))
	f.Fuzz(func(t *testing.T, data []byte) {
		lines := audit.LocateTOML(data)
		for key, line := range lines {
			assert.Assert(t, line >= 1 && line <= 1+bytes.Count(data, []byte("\n")), "%s: %d", key, line)
		}
		if template, err := conf.Parse(data); err == nil {
			audit.CheckTemplate(template, lines)
		}
	})
}
