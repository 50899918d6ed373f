package main

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
)

// printer writes results as text or JSON.
type printer struct {
	w    io.Writer
	json bool
}

// print writes value as JSON, or calls text with a writer that aligns tab-separated columns.
func (p *printer) print(value any, text func(w io.Writer)) error {
	if !p.json {
		table := tabwriter.NewWriter(p.w, 0, 8, 2, ' ', 0)
		text(table)
		return table.Flush()
	}
	encoder := json.NewEncoder(p.w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

func writeRow(w io.Writer, cells ...any) {
	for i, cell := range cells {
		if i > 0 {
			fmt.Fprint(w, "\t")
		}
		fmt.Fprint(w, cell)
	}
	fmt.Fprintln(w)
}
