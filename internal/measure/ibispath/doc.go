// Package ibispath measures requests over real loopback sockets: throughput in a closed loop, and latency at a fixed rate
// counted from when a request was due, so that a stall is not hidden by the requests that it held back.
package ibispath
