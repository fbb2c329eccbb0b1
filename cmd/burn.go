package cmd

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"

	"cranberryrail/core/burn"
	"cranberryrail/io/burnui"
)

// pageMode is the file mode of the HTML report.
const pageMode = 0o644

func (a *App) burn() command {
	var file string
	sub := newSubcommand("burn", "show the service-level burn rates of all organisations", "burn", "burn --html burn.html")
	sub.String(&file, "", "html", "Write an HTML page with plots to this file.")
	c := a.newClient(sub)
	return command{sub, func(ctx context.Context) error {
		var r burn.Report
		if err := c.call(ctx, http.MethodGet, "/v1/reports/burn", nil, &r); err != nil {
			return err
		}
		if file != "" {
			if err := writePage(file, r); err != nil {
				return err
			}
		}
		if c.json {
			return a.printJSON(r)
		}
		return burnui.Table(a.Stdout, r)
	}}
}

func writePage(file string, r burn.Report) error {
	var page bytes.Buffer
	if err := burnui.Page(&page, r); err != nil {
		return fmt.Errorf("render HTML report: %w", err)
	}
	if err := os.WriteFile(file, page.Bytes(), pageMode); err != nil {
		return fmt.Errorf("write HTML report; choose another file with --html: %w", err)
	}
	return nil
}
