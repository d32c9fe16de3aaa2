package ibisscenario

import (
	"strings"

	"github.com/google/uuid"
)

// key returns the idempotency key that a word stands for: "@NAME" is a UUIDv7 made at its first use, anything else itself.
func (w *world) key(word string) (string, error) {
	name, ok := strings.CutPrefix(word, "@")
	if !ok {
		return word, nil
	}
	if made, ok := w.keys[name]; ok {
		return made, nil
	}
	made, err := uuid.NewV7()
	if err != nil {
		return "", err
	}
	w.keys[name] = made.String()
	return w.keys[name], nil
}
