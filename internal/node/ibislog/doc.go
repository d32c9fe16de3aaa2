// Package ibislog builds the loggers of the program: JSON lines through zap, and a writer that never blocks the program.
//
// No log line contains a key, a body or a token of a caller, since the data of a tenant with home regions must stay in
// those regions.
package ibislog
