package reviewcase

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

const (
	// extraShare is the share of answers after which a faulty backend server sends further bytes, and faultyBackends the number
	// of such servers, a share of 0.6.
	extraShare     = 0.03
	deskMachines   = 5
	faultyBackends = 3
	// extraTime is how long they do so.
	extraTime = 5 * time.Second
)

// refusal is what a backend server writes when it sheds, as the examples of the wire show it.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"

// refusalOfNoRequest has backend servers send a refusal beyond a complete answer, at the point where the next answer is due.
func refusalOfNoRequest(w *world, trouble bool) ([]string, error) {
	if err := w.startStore(configOf(7, route{
		name:      "print-order",
		kind:      "non_idempotent",
		prefix:    "/pufi791/",
		service:   serviceDesk,
		targetMs:  500,
		timeoutMs: 1200,
	})); err != nil {
		return nil, err
	}
	noted := newRuns()
	var mu sync.Mutex
	random, active := rand.New(rand.NewPCG(1, 1)), false
	for i := range deskMachines {
		m, err := w.addMachine(serviceDesk)
		if err != nil {
			return nil, err
		}
		config := backendConfig{
			id:    fmt.Sprintf("i-desk%04d", i+1),
			slots: 12,
			work:  40 * time.Millisecond,
		}
		if i < faultyBackends {
			config.afterAnswer = func() []byte {
				mu.Lock()
				defer mu.Unlock()
				if !active || random.Float64() >= extraShare {
					return nil
				}
				return []byte(refusal)
			}
		}
		if _, err := w.startBackend(m, config, noted); err != nil {
			return nil, err
		}
		if err := m.start(); err != nil {
			return nil, err
		}
	}
	if err := w.awaitReady(); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	load := startLoad(w.machines, 4, 1200*time.Millisecond, 20*time.Millisecond, func(c *caller) outcome {
		return c.send(http.MethodPost, hostName, "/pufi791/2f", -1)
	})
	time.Sleep(2 * time.Second)
	set := func(on bool) {
		mu.Lock()
		defer mu.Unlock()
		active = on
	}
	set(trouble)
	time.Sleep(extraTime)
	set(false)
	time.Sleep(2 * time.Second)
	all := load.end()
	time.Sleep(time.Second)
	return checkRunOnce(w, all, noted)
}

// checkRunOnce checks that no request ran more than once, or was refused as not run and has run.
func checkRunOnce(w *world, all []outcome, noted *runs) ([]string, error) {
	var breaches []string
	served := 0
	for _, o := range all {
		ran := noted.of(o.id)
		if o.status == http.StatusOK {
			served++
		}
		if len(ran) > 1 {
			breaches = append(breaches, fmt.Sprintf("TWICE: %s ran at %s and at %s, the client got %d", o.id, ran[0].backend, ran[1].backend, o.status))
		}
		switch o.status {
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if len(ran) > 0 {
				breaches = append(breaches, fmt.Sprintf("REFUSED: %s ran at %s, the client got %d", o.id, ran[0].backend, o.status))
			}
		}
	}
	w.log.add("%d requests, %d served", len(all), served)
	if served < len(all)/2 {
		return breaches, fmt.Errorf("only %d of %d requests were served", served, len(all))
	}
	return breaches, nil
}
