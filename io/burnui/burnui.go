// Package burnui renders the report on service-level burn as a text table for a terminal and as a self-contained HTML
// page with plots.
package burnui

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"cranberryrail/core/burn"
)

const (
	// columnGap is the number of spaces between two columns.
	columnGap = 2
	// maxNameLength is the maximum number of characters shown of a name.
	maxNameLength = 40
	percent       = 100
)

// row is the formatted table row for one objective of one organisation.
type row struct {
	Organisation string
	Objective    burn.Objective
	Alert        burn.Alert
	Target       string
	Good, Total  int64
	BudgetLeft   string
	Rates        []string
	// Latency lists the 50th, 95th and 99th percentile; it is empty for objectives without a latency.
	Latency string
}

// windows lists the windows whose burn rates are shown as columns.
func windows() []burn.WindowName {
	return []burn.WindowName{burn.FiveMinutes, burn.ThirtyMinutes, burn.OneHour, burn.SixHours, burn.ThreeDays}
}

// Table writes a report as a text table; organisations with alerts come first.
func Table(w io.Writer, r burn.Report) error {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	_, _ = fmt.Fprint(t, "ORGANISATION\tOBJECTIVE\tALERT\tTARGET\tGOOD\tTOTAL\tBUDGET LEFT")
	for _, span := range windows() {
		_, _ = fmt.Fprintf(t, "\tBURN %s", span)
	}
	_, _ = fmt.Fprintln(t, "\tP50/P95/P99")
	for _, row := range rows(r) {
		_, _ = fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%d\t%d\t%s", row.Organisation, row.Objective, row.Alert, row.Target, row.Good, row.Total, row.BudgetLeft)
		for _, rate := range row.Rates {
			_, _ = fmt.Fprint(t, "\t", rate)
		}
		_, _ = fmt.Fprintf(t, "\t%s\n", cmp.Or(row.Latency, "-"))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	missing := r.Missing()
	_, err := fmt.Fprintf(w, "\ncounts of %d of %d instances\n", len(r.Instances)-len(missing), len(r.Instances))
	for _, i := range missing {
		_, err = fmt.Fprintf(w, "missing: %s: %s\n", printable(i.Instance), printable(i.Missing))
	}
	return err
}

// rows returns the table rows of a report; organisations with alerts come first.
func rows(r burn.Report) []row {
	var all []row
	for _, o := range worstFirst(r) {
		for _, l := range o.Levels {
			all = append(all, newRow(o, l))
		}
	}
	return all
}

func newRow(o burn.Organisation, l burn.Level) row {
	count := l.Window(burn.ThreeDays).Count
	r := row{
		Organisation: printable(o.Organisation), Objective: l.Objective, Alert: l.Alert,
		Target: strconv.FormatFloat(l.TargetRatio*percent, 'g', -1, 32) + "%",
		Good:   count.Good, Total: count.Total,
		BudgetLeft: fmt.Sprintf("%.1f%%", l.BudgetLeftRatio*percent),
	}
	for _, span := range windows() {
		r.Rates = append(r.Rates, fmt.Sprintf("%.2f", l.Window(span).BurnRate))
	}
	switch l.Objective {
	case burn.FirstToken:
		r.Latency = latency(o.FirstToken)
	case burn.TokenGap:
		r.Latency = latency(o.TokenGap)
	}
	return r
}

func latency(l burn.Latency) string {
	if len(l.Buckets) == 0 {
		return ""
	}
	ms := func(us int64) int64 { return us / int64(time.Millisecond/time.Microsecond) }
	return fmt.Sprintf("%d/%d/%d ms", ms(l.P50US), ms(l.P95US), ms(l.P99US))
}

// worstFirst returns the organisations sorted by decreasing severity, then by increasing remaining budget.
func worstFirst(r burn.Report) []burn.Organisation {
	return slices.SortedStableFunc(slices.Values(r.Organisations), func(x, y burn.Organisation) int {
		return cmp.Or(cmp.Compare(severity(y), severity(x)), cmp.Compare(minBudgetLeft(x), minBudgetLeft(y)))
	})
}

// severity returns the rank of an organisation's most severe alert.
func severity(o burn.Organisation) int {
	worst := 0
	for _, l := range o.Levels {
		worst = max(worst, slices.Index([]burn.Alert{burn.OK, burn.SlowBurn, burn.FastBurn}, l.Alert))
	}
	return worst
}

// minBudgetLeft returns the smallest remaining error budget ratio of an organisation's objectives, at most 1.
func minBudgetLeft(o burn.Organisation) float64 {
	left := 1.0
	for _, l := range o.Levels {
		left = min(left, l.BudgetLeftRatio)
	}
	return left
}

// printable escapes control characters in text and truncates it to maxNameLength characters.
func printable(text string) string {
	quoted := strconv.QuoteToGraphic(text)
	if quoted != `"`+text+`"` {
		text = quoted
	}
	return truncate(text, maxNameLength)
}

// truncate shortens text to at most n characters, the last of which is then an ellipsis.
func truncate(text string, n int) string {
	if utf8.RuneCountInString(text) <= n {
		return text
	}
	return string([]rune(text)[:n-1]) + "…"
}
