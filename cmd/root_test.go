package cmd_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// subcommands returns the subcommands whose help is tested; the empty name is the program itself.
func subcommands() []string {
	return []string{
		"", "check", "publish", "set", "remove", "templates", "topup", "budgets", "usage", "targets", "instances",
		"report", "burn", "demo", "serve", "fake", "fake platform", "fake engine", "fake service",
		"measure", "measure overhead", "measure routing", "measure allowances", "measure publishing", "measure slopes", "measure fleets",
		"soak", "soak budgets", "soak calls", "soak config", "soak serving", "soak builds",
	}
}

func TestHelpAndVersion(t *testing.T) {
	for _, sub := range subcommands() {
		t.Run("cranberryrail "+sub, func(t *testing.T) {
			args := strings.Fields(sub)
			help := run(t, append(args, "--help")...)
			assertSucceeded(t, help, "Examples:\n    cranberryrail "+sub)
			assert.Equal(t, run(t, append([]string{"help"}, args...)...), help)
			assertSucceeded(t, run(t, append(args, "--version")...), "cranberryrail ")
			assertFailed(t, run(t, append(args, "--colour")...), 2, "unknown flag --colour")
		})
	}
	t.Run("help does not show the operator key", func(t *testing.T) {
		assert.Assert(t, !strings.Contains(run(t, "budgets", "--help").out, operatorKey))
	})
}

func TestUsageErrors(t *testing.T) {
	for args, text := range map[string]string{
		"":                              "a subcommand is missing",
		"fake":                          "a subcommand is missing",
		"sow":                           `unknown subcommand "sow"`,
		"fake sow":                      `unknown subcommand "sow"`,
		"check":                         "--config is missing",
		"publish":                       "FILE is missing",
		"set a priority":                "VALUE is missing",
		"budgets a b":                   `unexpected argument "b"`,
		"budgets --instance":            "--instance needs a value",
		"publish f --based-on x":        `invalid flag value: "x" is not a number`,
		"publish f --wait=maybe":        `invalid flag value: "maybe" is neither true nor false`,
		"publish f --wait-timeout 5":    "invalid flag value: missing unit",
		"topup a -5":                    "unknown flag -5",
		"topup a 1.5":                   "is not a positive integer",
		"fake engine --model draft":     "name:version",
		"soak budgets --seeds 0":        "at least 1",
		"soak calls --steps 0":          "at least 1",
		"soak serving --seconds -1":     "at least 1",
		"usage a --budget=main --json1": "unknown flag --json1; see cranberryrail help usage",
	} {
		t.Run(args, func(t *testing.T) { assertFailed(t, run(t, strings.Fields(args)...), 2, text) })
	}
}

func TestCheckSettings(t *testing.T) {
	good := "[instance]\nid = \"i-1\"\nzone = \"a\"\n[operator]\nkey_sha256 = \"" + strings.Repeat("0", 64) +
		"\"\n[platform]\nlog_url = \"http://127.0.0.1:1\"\nlist_url = \"http://127.0.0.1:1\"\n"
	assertSucceeded(t, run(t, "check", "--config", writeFile(t, good)), "settings are valid")
	bad := run(t, "check", "--config="+writeFile(t, good+"colour = 1\n[ledger]\nshards = 0\n"))
	assertFailed(t, bad, 1, "platform.colour", "ledger.shards: 0 is not allowed", "2 fault(s)")
	assertFailed(t, run(t, "check", "--config", "missing.toml"), 1, "missing.toml")
}
