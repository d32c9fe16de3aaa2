package ibisconnections

import (
	"bytes"

	"github.com/ibisridge/ibisridge/internal/request/ibismemory"
)

// headScan measures one head as it is read in pieces, and finds its end.
type headScan struct {
	count ibismemory.HeadCount
	// begun means that a line with text has been read; empty lines before it don't end the head.
	begun bool
	// hasText means that the line whose end has not been read has text.
	hasText bool
	// ended means that the empty line after the fields has been read.
	ended bool
}

// add counts the part of the text that belongs to the head, and returns its length.
func (h *headScan) add(text []byte) int {
	n := 0
	for n < len(text) && !h.ended {
		line, _, complete := bytes.Cut(text[n:], []byte{'\n'})
		n += len(line)
		h.hasText = h.hasText || len(bytes.Trim(line, "\r")) > 0
		if !complete {
			break
		}
		n++
		h.ended = h.begun && !h.hasText
		h.begun, h.hasText = h.begun || h.hasText, false
	}
	h.count.Add(text[:n])
	return n
}
