package ibiscli

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/term"
)

// Terminal is where a command reads and writes.
type Terminal struct {
	// In is the standard input.
	In io.Reader
	// Out is the standard output, for results.
	Out io.Writer
	// Err is the standard error, for logs and errors.
	Err io.Writer
	// Dir is the directory that relative file names start from, empty for the working directory.
	Dir string
	// Colour allows colours in Out.
	Colour bool
	// Width is the number of columns of Out.
	Width int
}

const plainWidth = 100

// path returns the file name from the terminal's directory.
func (t Terminal) path(file string) string {
	if t.Dir == "" || filepath.IsAbs(file) {
		return file
	}
	return filepath.Join(t.Dir, file)
}

// System returns the terminal of the process; colours are used only on a terminal and where NO_COLOR is not set.
func System() Terminal {
	t := Terminal{
		In:    os.Stdin,
		Out:   os.Stdout,
		Err:   os.Stderr,
		Width: plainWidth,
	}
	fd := int(os.Stdout.Fd())
	if !term.IsTerminal(fd) {
		return t
	}
	t.Colour = os.Getenv("NO_COLOR") == ""
	if width, _, err := term.GetSize(fd); err == nil && width > 0 {
		t.Width = width
	}
	return t
}
