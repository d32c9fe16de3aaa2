package ibisjson

import "bytes"

// Prune returns the JSON text with every list and object that is nested more than depth levels deep replaced by null, so that
// a decoder with a limit of its own decodes what is beside it. It returns the text itself if there is none. What it replaces need
// not be valid JSON.
func Prune(text []byte, depth int) []byte {
	var out bytes.Buffer
	// The text from copyFrom on is still to be copied; within a value that is replaced there is none.
	level, copyFrom := 0, 0
	inString, escaped := false, false
	for i, c := range text {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = c == '\\'
			inString = c != '"'
		case c == '"':
			inString = true
		case c == '[' || c == '{':
			level++
			if level == depth+1 {
				out.Write(text[copyFrom:i])
				out.WriteString("null")
				copyFrom = len(text)
			}
		case c == ']' || c == '}':
			if level == depth+1 {
				copyFrom = i + 1
			}
			level--
		}
	}
	if out.Len() == 0 {
		return text
	}
	out.Write(text[copyFrom:])
	return out.Bytes()
}
