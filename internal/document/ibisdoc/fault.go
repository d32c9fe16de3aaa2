package ibisdoc

import (
	"fmt"
	"strings"

	"github.com/ibisridge/ibisridge/internal/document/ibisname"
)

// Fault is one reason why the document is not valid.
type Fault = ibisname.Fault

// Faults lists the reasons why the document is not valid.
type Faults []Fault

// Error returns one line for each fault.
func (f Faults) Error() string {
	lines := make([]string, 0, len(f)+1)
	lines = append(lines, fmt.Sprintf("the document is not valid, %d faults", len(f)))
	for _, fault := range f {
		lines = append(lines, fault.Error())
	}
	return strings.Join(lines, "\n")
}

// maxValueBytes limits the length of a value in a fault; the rest is cut off.
const maxValueBytes = 80

func newFault(path, value, allowed string, args ...any) Fault {
	if len(value) > maxValueBytes {
		value = value[:maxValueBytes] + "..."
	}
	if len(args) > 0 {
		allowed = fmt.Sprintf(allowed, args...)
	}
	return Fault{
		Path:    path,
		Value:   value,
		Allowed: allowed,
	}
}
