// Package ibislatency keeps running statistics of request latencies: exponentially weighted means, a baseline of the usual
// latency of each request class, and a histogram for quantiles whose old samples decay. Admission, the choice of a backend
// server and hedging use them to detect slow answers.
package ibislatency
