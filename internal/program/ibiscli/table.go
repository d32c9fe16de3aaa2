package ibiscli

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"unicode/utf8"
)

// table is a list for people: columns are aligned, and the header is bold on a terminal.
type table struct {
	header []string
	rows   [][]string
}

func (tb *table) add(cells ...string) { tb.rows = append(tb.rows, cells) }

func (tb *table) write(t Terminal) {
	widths := make([]int, len(tb.header))
	for _, row := range append([][]string{tb.header}, tb.rows...) {
		for i, cell := range row {
			widths[i] = max(widths[i], utf8.RuneCountInString(cell))
		}
	}
	_, _ = fmt.Fprintln(t.Out, bold(t, line(tb.header, widths)))
	for _, row := range tb.rows {
		_, _ = fmt.Fprintln(t.Out, line(row, widths))
	}
}

func line(cells []string, widths []int) string {
	var b strings.Builder
	for i, cell := range cells {
		b.WriteString(cell)
		if i < len(cells)-1 {
			b.WriteString(strings.Repeat(" ", widths[i]-utf8.RuneCountInString(cell)+2))
		}
	}
	return strings.TrimRight(b.String(), " ")
}

const (
	codeBold  = "\x1b[1m"
	codeRed   = "\x1b[31m"
	codeGreen = "\x1b[32m"
	codeReset = "\x1b[0m"
)

func coloured(t Terminal, code, text string) string {
	if !t.Colour {
		return text
	}
	return code + text + codeReset
}

func bold(t Terminal, text string) string { return coloured(t, codeBold, text) }

func red(t Terminal, text string) string { return coloured(t, codeRed, text) }

func green(t Terminal, text string) string { return coloured(t, codeGreen, text) }

func writeJSON(w io.Writer, v any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	encoder.SetEscapeHTML(false)
	return encoder.Encode(v)
}
