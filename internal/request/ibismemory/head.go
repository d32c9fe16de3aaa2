package ibismemory

import "bytes"

const (
	// bytesPerField is what a field of a head takes beside its text: two copies of its entry in a map, whose tables are half empty
	// when they have just grown.
	bytesPerField = 192
	// textFactor is how often the text of a head is held: in the connection's buffer or the parsed head, and in its copy for the
	// next hop.
	textFactor = 2
)

// HeadCount counts the head of a request as its bytes are read, in pieces of any size.
type HeadCount struct {
	// Bytes is the number of bytes.
	Bytes int
	// Lines is the number of lines, at least that of the fields.
	Lines int
}

// Add counts the next bytes. The head may end within them: what follows it counts as well.
func (h *HeadCount) Add(text []byte) {
	h.Bytes += len(text)
	h.Lines += bytes.Count(text, []byte{'\n'})
}

// Cost returns a bound on the bytes that the head takes once it is parsed.
func (h HeadCount) Cost() int64 {
	return int64(textFactor*h.Bytes) + int64(bytesPerField*h.Lines)
}
