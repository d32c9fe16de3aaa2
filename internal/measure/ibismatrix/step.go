package ibismatrix

// Step is when a fault comes about in the life of an order.
type Step string

const (
	// StepBefore is before the order is sent.
	StepBefore Step = "before"
	// StepRunning is while the backend server runs the order.
	StepRunning Step = "running"
	// StepAnswered is after the answer and before the repeat.
	StepAnswered Step = "answered"
)

// Steps lists the steps in order.
func Steps() []Step { return []Step{StepBefore, StepRunning, StepAnswered} }

// Faults lists the names of the faults in the order of the table.
func Faults() []string {
	var names []string
	for _, f := range faults() {
		names = append(names, f.name)
	}
	return names
}
