// Package ibispursue decides what follows each try of a request: another try, its answer, or a refusal with a time to come
// back. It is pure: the front carries it out over connections, the model of a whole system on fake time.
package ibispursue
