package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// printTable prints a table with a header, or value if JSON output is selected.
func (a *app) printTable(value any, header string, rows [][]string) error {
	if a.JSON {
		return a.printJSON(value)
	}
	w := tabwriter.NewWriter(a.out, 0, 8, 2, ' ', 0)
	if _, err := fmt.Fprintln(w, strings.ReplaceAll(header, " ", "\t")); err != nil {
		return err
	}
	for _, row := range rows {
		if _, err := fmt.Fprintln(w, strings.Join(row, "\t")); err != nil {
			return err
		}
	}
	return w.Flush()
}

func (a *app) printJSON(value any) error {
	e := json.NewEncoder(a.out)
	e.SetIndent("", "  ")
	return e.Encode(value)
}

// printResult prints a formatted line, or value if JSON output is selected.
func (a *app) printResult(value any, format string, args ...any) error {
	if a.JSON {
		return a.printJSON(value)
	}
	_, err := fmt.Fprintf(a.out, format+"\n", args...)
	return err
}
