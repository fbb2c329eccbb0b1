package burnui_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranberryrail/core/burn"
	"cranberryrail/core/codes"
	"cranberryrail/core/conf"
	"cranberryrail/io/burnui"
)

// maliciousName is a name with HTML markup and terminal control characters.
const maliciousName = "</text><script>alert(1)</script>\"'&\x1b[2J\x00"

// pageEnv is the environment variable for the path of a file to which TestPage writes its page for inspection.
const pageEnv = "CRANBERRYRAIL_TEST_BURN_PAGE"

// newReport returns a report over three days: "busy" has failures in the last hour, maliciousName has slow answers
// during some hours of each day, and the others meet their objectives.
func newReport(organisations int) burn.Report {
	now := time.Unix(1_800_000_000, 0)
	m := burn.Meter{
		Instance: "i-1",
		Now:      func() time.Time { return now },
		Objectives: func(string) (conf.Objectives, bool) {
			return conf.Objectives{FirstTokenMS: 990, TokenGapMS: 28, TargetRatio: 0.95, AvailabilityRatio: 0.999, FalseRefusalRatio: 0.999}, true
		},
	}
	m.Default()
	names := []string{"busy", maliciousName, strings.Repeat("long", 50)}
	for i := len(names); i < organisations; i++ {
		names = append(names, fmt.Sprint("organisation-", i))
	}
	for step := range 72 * 6 {
		now = now.Add(10 * time.Minute)
		for i, name := range names[:organisations] {
			s := burn.Sample{Organisation: name, Complete: true, FirstToken: time.Duration(100+i*30) * time.Millisecond, Gap: 20 * time.Millisecond}
			m.Observe(s)
			switch {
			case name == "busy" && step > 71*6:
				m.Observe(burn.Refusal(name, codes.BudgetElsewhere))
			case name == maliciousName && step%144 > 120 && step%3 == 0:
				s.FirstToken = 3 * time.Second
				m.Observe(s)
			}
		}
	}
	return burn.Merge([]burn.InstanceReport{m.Report(now), {Instance: "i-2", Missing: "no answer within 2s"}})
}

func renderPage(t *testing.T, r burn.Report) string {
	t.Helper()
	var b bytes.Buffer
	assert.NilError(t, burnui.Page(&b, r))
	return b.String()
}

func assertHas(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		assert.Assert(t, strings.Contains(text, part), "no %q in:\n%.3000s", part, text)
	}
}

func TestPageShowsReport(t *testing.T) {
	p := renderPage(t, newReport(5))
	if file := os.Getenv(pageEnv); file != "" {
		assert.NilError(t, os.WriteFile(file, []byte(p), 0o600))
	}
	assertHas(t, p, "Counts of 1 of 2 instances", "missing: i-2: no answer within 2s", `<tr class="fast_burn"><td>busy</td>`)
	assert.Equal(t, strings.Count(p, "<svg"), 6)
	t.Run("a malicious name is escaped", func(t *testing.T) {
		assertHas(t, p, "&lt;/text&gt;&lt;script&gt;")
		for _, part := range []string{"<script", "\x1b", "\x00", "<?xml", "href=\"http", "src="} {
			assert.Assert(t, !strings.Contains(p, part), "page contains %q", part)
		}
	})
}

func TestPageIsBounded(t *testing.T) {
	const organisations, bound = 230, 2 << 20
	p := renderPage(t, newReport(organisations))
	t.Logf("%d organisations: %d KiB", organisations, len(p)>>10)
	assert.Equal(t, strings.Count(p, "<svg"), 21)
	assert.Assert(t, len(p) < bound)
	assertHas(t, p, "210 more organisations are only in the table", "<td>organisation-229</td>")
}

func TestEmptyReportIsRendered(t *testing.T) {
	assertHas(t, renderPage(t, burn.Report{}), "Counts of 0 of 0 instances")
	var b bytes.Buffer
	assert.NilError(t, burnui.Table(&b, burn.Report{}))
}

func TestTableShowsReport(t *testing.T) {
	var b bytes.Buffer
	assert.NilError(t, burnui.Table(&b, newReport(3)))
	lines := strings.Split(b.String(), "\n")
	assertHas(t, lines[0], "ORGANISATION", "BURN 5m", "BUDGET LEFT")
	assertHas(t, lines[1], "busy", "first_token", "95%", "100.0%", "/")
	assertHas(t, lines[3], "availability", "fast_burn", "99.9%")
	assertHas(t, b.String(), "counts of 1 of 2 instances\nmissing: i-2: no answer within 2s\n", strings.Repeat("long", 9)+"lon…  first_token")
	assert.Assert(t, !strings.Contains(b.String(), "\x1b"))
}
