package cmd_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"cranberryrail/core/burn"
)

func TestBurnPrintsReport(t *testing.T) {
	report := burn.Merge([]burn.InstanceReport{
		{Instance: "i-1", Organisations: []burn.Organisation{{
			Organisation: "a",
			Levels: []burn.Level{{
				Objective: burn.Availability, TargetRatio: 0.75,
				Windows: []burn.Window{{Window: burn.ThreeDays, Count: burn.Count{Good: 90, Total: 100}}},
			}},
		}}},
		{Instance: "i-2", Missing: "no answer"},
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		assert.Check(t, r.URL.Path == "/v1/reports/burn")
		assert.Check(t, json.NewEncoder(w).Encode(report))
	}))
	defer s.Close()
	assertSucceeded(t, run(t, "burn", "--instance", s.URL), "ORGANISATION", "availability", "60.0%", "missing: i-2: no answer\n")
	file := filepath.Join(t.TempDir(), "burn.html")
	r := run(t, "burn", "--json", "--html", file, "--instance", s.URL)
	assertSucceeded(t, r, `"burn_rate": 0.4`)
	var back burn.Report
	assert.NilError(t, json.Unmarshal([]byte(r.out), &back))
	assert.DeepEqual(t, back, report)
	page, err := os.ReadFile(file)
	assert.NilError(t, err)
	assertContains(t, string(page), "<svg", "missing: i-2: no answer")
	assertFailed(t, run(t, "burn", "--html", t.TempDir(), "--instance", s.URL), 1, "choose another file with --html")
}
