// Package ibisretrypolicy decides the next step after each try of a request: a retry on another node, the answer, or a
// refusal with a retry-after time.
//
// It contains the retry budget of a node and the estimate of how long callers have been trying. It has no connections and no
// clock of its own: ibisdispatch applies its decisions over connections, the model of a whole system on simulated time.
package ibisretrypolicy
