package burnui

import (
	_ "embed" // for the page
	"html/template"
	"io"

	"cranberryrail/core/burn"
)

// maxPlots is the maximum number of organisations whose burn is plotted; those with the worst state are chosen.
const maxPlots = 20

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

// page is the data of the page template.
type page struct {
	Report  burn.Report
	Seen    int
	Windows []burn.WindowName
	Rows    []row
	Budgets template.HTML
	Plots   []organisationPlot
	// Unplotted is the number of organisations that appear only in the table.
	Unplotted int
}

type organisationPlot struct {
	Organisation string
	SVG          template.HTML
}

// Page writes a report as a self-contained HTML page.
func Page(w io.Writer, r burn.Report) error {
	worst := worstFirst(r)
	plotted := worst[:min(len(worst), maxPlots)]
	p := page{
		Report: r, Seen: len(r.Instances) - len(r.Missing()), Windows: windows(), Rows: rows(r),
		Unplotted: len(worst) - len(plotted),
	}
	if len(plotted) > 0 {
		var err error
		if p.Budgets, err = budgetPlot(plotted); err != nil {
			return err
		}
	}
	for _, o := range plotted {
		svg, err := burnPlot(r, o)
		if err != nil {
			return err
		}
		p.Plots = append(p.Plots, organisationPlot{Organisation: printable(o.Organisation), SVG: svg})
	}
	return pageTemplate.Execute(w, p)
}
