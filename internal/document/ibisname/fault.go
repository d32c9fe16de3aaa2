package ibisname

import "fmt"

// Fault describes one invalid value in the document.
type Fault struct {
	// Path is the JSON path of the value.
	Path string `json:"path"`
	// Value is the value in the document, shortened.
	Value string `json:"value"`
	// Allowed describes the valid values.
	Allowed string `json:"allowed"`
}

// Error returns a message with the path, the value and the description of the valid values.
func (f Fault) Error() string {
	return fmt.Sprintf("%s: %q is not valid: %s", f.Path, f.Value, f.Allowed)
}
