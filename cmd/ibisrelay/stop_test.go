package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
)

// TestStopCutsNothing sends orders to a node from SIGTERM until its listener has closed, while the backend servers take all the
// time that they get: no order that runs is given up before its caller's time is over, and each other one is refused as not run.
// It guards against orders that a stopping node passed on and cut off at its end.
func TestStopCutsNothing(t *testing.T) {
	const (
		interval = 10 * time.Millisecond
		blockers = 16
		noEnd    = time.Minute
		// rounding is the most by which the two hops shorten a time that they pass on in whole milliseconds.
		rounding = 2 * time.Millisecond
	)
	budgets := []time.Duration{250 * time.Millisecond, 600 * time.Millisecond, time.Second, 1500 * time.Millisecond, 2 * time.Second}
	store, ledger := startStore(t), ibisapp.NewLedger()
	processes := make([]*process, 2)
	for i := range processes {
		p := startProcessWith(t, fmt.Sprintf("127.0.79.%d", i+1), store, ledger, noEnd)
		processes[i] = p
		go func() { _, _ = io.Copy(io.Discard, p.logReader) }()
		settings, err := os.OpenFile(p.file, os.O_WRONLY, 0)
		if err != nil {
			t.Fatal(err)
		}
		p.finishSettings(settings)
		p.awaitReadiness(http.StatusOK)
	}
	stopping := processes[0]
	dial := func() (net.Conn, error) { return net.Dial("tcp4", stopping.settings.Listen.Callers) }
	// Orders that outlast the grace period keep the node until its end.
	for n := 0; ledger.Total() < blockers; n++ {
		conn, err := dial()
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		go func() { _, _, _ = exchange(conn, fmt.Sprintf("blocker-%d", n), noEnd) }()
		time.Sleep(interval)
	}
	stopping.signal(syscall.SIGTERM)
	var orders sync.WaitGroup
	sent := 0
	for ; ; sent++ {
		conn, err := dial()
		if err != nil {
			break
		}
		id, budget := fmt.Sprintf("stop-%d", sent), budgets[sent%len(budgets)]
		orders.Go(func() {
			defer conn.Close()
			began := time.Now()
			status, reason, err := exchange(conn, id, budget)
			took, runs := time.Since(began), ledger.Runs(id)
			switch {
			case err != nil && runs > 0:
				t.Errorf("order %s ran and was cut after %s: %v", id, took, err)
			case err != nil || status == http.StatusServiceUnavailable && runs == 0:
			case status == http.StatusServiceUnavailable:
				t.Errorf("order %s ran and was refused as not run: %s", id, reason)
			case took < budget-rounding:
				t.Errorf("order %s was given up after %s of %s with status %d: %s", id, took, budget, status, reason)
			}
		})
		time.Sleep(interval)
	}
	orders.Wait()
	if err := <-stopping.exited; err != nil {
		t.Errorf("the process ended by %v, must exit with 0", err)
	}
	if ran := ledger.Total() - blockers; ran < sent/10 {
		t.Errorf("%d of %d orders ran while the node stopped; the test shows nothing", ran, sent)
	}
}

// exchange sends an order on a connection and returns the status and body of its answer.
func exchange(conn net.Conn, id string, budget time.Duration) (int, string, error) {
	_, err := fmt.Fprintf(conn, "POST /book/x HTTP/1.1\r\nHost: bed.example\r\nAttempt-Id: %s\r\nTime-Remaining-Ms: %d\r\nContent-Length: 1\r\n\r\nx",
		id, budget.Milliseconds())
	if err != nil {
		return 0, "", err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, string(body), err
}
