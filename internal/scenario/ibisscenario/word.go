package ibisscenario

import (
	"fmt"
	"slices"
	"strings"
)

// words are the arguments of a command: plain words in order, and NAME=VALUE options in any place.
type words struct {
	plain   []string
	options map[string]string
}

// parseWords takes the named options out of the arguments; a word with an equals sign of any other name is plain.
func parseWords(args []string, names ...string) words {
	w := words{
		options: make(map[string]string),
	}
	for _, arg := range args {
		name, value, ok := strings.Cut(arg, "=")
		if ok && slices.Contains(names, name) {
			w.options[name] = value
			continue
		}
		w.plain = append(w.plain, arg)
	}
	return w
}

// exactly fails unless there are as many plain words as the usage names.
func (w words) exactly(usage string) error {
	if want := len(strings.Fields(usage)); len(w.plain) != want {
		return fmt.Errorf("want %s, got %q", usage, w.plain)
	}
	return nil
}

// need returns an option that must be there.
func (w words) need(name string) (string, error) {
	value, ok := w.options[name]
	if !ok || value == "" {
		return "", fmt.Errorf("%s=VALUE is missing", name)
	}
	return value, nil
}

// or returns an option, or the fallback where it is not there.
func (w words) or(name, fallback string) string {
	if value, ok := w.options[name]; ok {
		return value
	}
	return fallback
}
