package ibiscli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// readFile reads a file, or the standard input for "-".
func readFile(file string, t Terminal) ([]byte, error) {
	if file == "-" {
		return io.ReadAll(t.In)
	}
	return os.ReadFile(t.path(file))
}

// readSections reads a document file: one JSON object whose members are sections.
func readSections(file string, t Terminal) (ibisdoc.Sections, error) {
	text, err := readFile(file, t)
	if err != nil {
		return nil, err
	}
	sections, err := parseSections(text)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return sections, nil
}

func parseSections(text []byte) (ibisdoc.Sections, error) {
	decoder := json.NewDecoder(bytes.NewReader(text))
	opening, err := decoder.Token()
	if err != nil {
		return nil, located(text, decoder.InputOffset(), err)
	}
	if opening != json.Delim('{') {
		return nil, located(text, decoder.InputOffset(), fmt.Errorf("%v: must be an object whose members are sections", opening))
	}
	sections := ibisdoc.Sections{}
	for decoder.More() {
		if err := readSection(decoder, sections); err != nil {
			return nil, located(text, decoder.InputOffset(), err)
		}
	}
	if _, err := decoder.Token(); err != nil {
		return nil, located(text, decoder.InputOffset(), err)
	}
	if rest := bytes.TrimSpace(text[decoder.InputOffset():]); len(rest) > 0 {
		return nil, located(text, decoder.InputOffset(), fmt.Errorf("more text follows the document"))
	}
	return sections, nil
}

func readSection(decoder *json.Decoder, sections ibisdoc.Sections) error {
	token, err := decoder.Token()
	if err != nil {
		return err
	}
	name := ibisdoc.SectionName(token.(string))
	if _, twice := sections[name]; twice {
		return fmt.Errorf("section %q stands twice", name)
	}
	var content json.RawMessage
	if err := decoder.Decode(&content); err != nil {
		return err
	}
	sections[name] = content
	return nil
}

func located(text []byte, offset int64, err error) error {
	before := text[:min(max(offset, 0), int64(len(text)))]
	line := bytes.Count(before, []byte("\n")) + 1
	column := len(before) - bytes.LastIndexByte(before, '\n')
	return fmt.Errorf("line %d, column %d: %w", line, column, err)
}

// compileFile reads and checks a document file.
func compileFile(file string, t Terminal) (*ibisdoc.Document, error) {
	sections, err := readSections(file, t)
	if err != nil {
		return nil, err
	}
	document, faults := ibisdoc.Compile(1, sections)
	if len(faults) > 0 {
		return nil, fmt.Errorf("%s is not valid:\n%w", file, faults)
	}
	return document, nil
}
