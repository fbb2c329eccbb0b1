package conf_test

import (
	"errors"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/conf"
)

// parse returns the template of a valid document.
func parse(t testing.TB, doc string) conf.Template {
	t.Helper()
	tmpl, err := conf.Parse([]byte(doc))
	assert.NilError(t, err)
	return tmpl
}

// assertFaults checks that an error lists faults at exactly these paths.
func assertFaults(t *testing.T, err error, paths ...string) {
	t.Helper()
	var faults *conf.FaultError
	assert.Assert(t, errors.As(err, &faults), "%v", err)
	got := make([]string, 0, len(faults.Faults))
	for _, f := range faults.Faults {
		assert.Assert(t, f.Problem != "" && f.Allowed != "", "%v", f)
		got = append(got, f.Path)
	}
	assert.DeepEqual(t, got, paths)
}

func ExampleTemplate_Set() {
	t, _ := conf.Parse([]byte(`organisation = "ndukwe"`))
	t, _ = t.Set("allowance.cover_seconds", "1800")
	fmt.Println(t.Allowance.CoverSeconds, t.Priority)
	_, err := t.Set("priority", "12")
	fmt.Println(err)
	// Output:
	// 1800 5
	// template: mend and try again: priority: 12 is not allowed; allowed: 0..9
}

func TestParse(t *testing.T) {
	t.Run("fills defaults", func(t *testing.T) {
		tmpl := parse(t, "organisation = \"a\"\n[[models]]\nmodel = \"m\"")
		assert.DeepEqual(t, tmpl.Budgets, []conf.Budget{{Name: conf.MainBudget}})
		assert.DeepEqual(t, tmpl.Models[0].Versions, []string{conf.AnyVersion})
		assert.Equal(t, tmpl.Allowance.Policy, conf.Adaptive)
		assert.Equal(t, tmpl.Allowance.CoverSeconds, 900)
	})
	t.Run("keeps an explicit zero", func(t *testing.T) {
		tmpl := parse(t, "organisation = \"a\"\npriority = 0\n[allowance]\ncover_seconds = 0")
		assert.Equal(t, tmpl.Priority, 0)
		assert.Equal(t, tmpl.Allowance.CoverSeconds, 0)
	})
	t.Run("reports every fault with its path", func(t *testing.T) {
		_, err := conf.Parse([]byte(`
			organisation = "A"
			services = ["x", "x"]
			colour = 1
			shares = [{target = "t", weight = 0}]
			budgets = [{name = "b"}, {name = ""}]
			allowance = {policy = "none"}`))
		assertFaults(t, err, "colour", "services[1]", "organisation", "shares[0].weight", "budgets[1].name", "allowance.policy")
	})
	t.Run("reports the line of a wrong type", func(t *testing.T) {
		_, err := conf.Parse([]byte("organisation = \"a\"\n[objectives]\ntarget_ratio = \"x\""))
		assertFaults(t, err, "objectives.target_ratio")
		assert.ErrorContains(t, err, "(line 3): cannot decode TOML string; allowed")
	})
}

func TestSet(t *testing.T) {
	tmpl := parse(t, "organisation = \"a\"\nshares = [{target = \"t\", weight = 1}]\nmodels = [{model = \"m\"}]")
	for _, tc := range []struct {
		path, value string
		got         func(conf.Template) any
		want        any
	}{
		{"shares.0.weight", "7", func(t conf.Template) any { return t.Shares[0].Weight }, 7},
		{"allowance.policy", "fixed", func(t conf.Template) any { return t.Allowance.Policy }, conf.Fixed},
		{"models.0.versions.0", "2", func(t conf.Template) any { return t.Models[0].Versions[0] }, "2"},
		{"services", `["booking"]`, func(t conf.Template) any { return t.Services[0] }, "booking"},
		{"objectives.target_ratio", "0.5", func(t conf.Template) any { return t.Objectives.TargetRatio }, 0.5},
	} {
		t.Run(tc.path, func(t *testing.T) {
			changed, err := tmpl.Set(tc.path, tc.value)
			assert.NilError(t, err)
			assert.Equal(t, tc.got(changed), tc.want)
		})
	}
	for _, path := range []string{"", "allowance.cover", "shares.1.weight", "shares.x", "priority.a", "colour"} {
		t.Run("refuses path "+path, func(t *testing.T) {
			_, err := tmpl.Set(path, "1")
			assertFaults(t, err, path)
		})
	}
	t.Run("does not modify the original", func(t *testing.T) {
		assert.Equal(t, tmpl.Shares[0].Weight, 1)
		assert.Equal(t, tmpl.Models[0].Versions[0], conf.AnyVersion)
	})
}
