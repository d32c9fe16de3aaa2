// Package ibisexperiment runs the model of a file under several policies and seeds, side by side, and reports on them in a
// table and plots.
package ibisexperiment
