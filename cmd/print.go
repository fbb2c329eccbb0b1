package cmd

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// columnGap is the number of spaces between two columns.
const columnGap = 2

// printf prints to standard output; write errors are ignored.
func (a *App) printf(format string, args ...any) { _, _ = fmt.Fprintf(a.Stdout, format, args...) }

// printJSON prints a value as indented JSON.
func (a *App) printJSON(v any) error {
	e := json.NewEncoder(a.Stdout)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// printTable prints a heading and rows in aligned columns.
func (a *App) printTable(heading []string, rows [][]any) error {
	w := tabwriter.NewWriter(a.Stdout, 0, 0, columnGap, ' ', 0)
	lines := make([]string, 0, 1+len(rows))
	lines = append(lines, strings.ToUpper(strings.Join(heading, "\t")))
	for _, row := range rows {
		cells := make([]string, 0, len(row))
		for _, v := range row {
			cells = append(cells, fmt.Sprint(v))
		}
		lines = append(lines, strings.Join(cells, "\t"))
	}
	if _, err := w.Write([]byte(strings.Join(lines, "\n") + "\n")); err != nil {
		return err
	}
	return w.Flush()
}

// printObjects prints JSON objects as a table with one column per key, sorted, with id first.
func (a *App) printObjects(objects []map[string]any) error {
	keys := map[string]bool{}
	for _, o := range objects {
		for key := range o {
			keys[key] = true
		}
	}
	heading := slices.SortedFunc(maps.Keys(keys), func(x, y string) int {
		if (x == "id") != (y == "id") {
			return map[bool]int{true: -1, false: 1}[x == "id"]
		}
		return strings.Compare(x, y)
	})
	rows := make([][]any, 0, len(objects))
	for _, o := range objects {
		row := make([]any, 0, len(heading))
		for _, key := range heading {
			row = append(row, cell(o[key]))
		}
		rows = append(rows, row)
	}
	return a.printTable(heading, rows)
}

// cell formats a JSON value on one line.
func cell(v any) string {
	switch v := v.(type) {
	case nil:
		return "-"
	case []any, map[string]any:
		data, _ := json.Marshal(v)
		return string(data)
	default:
		return fmt.Sprint(v)
	}
}
