package reviewcase

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// outcome is how a caller's request ended.
type outcome struct {
	id      string
	machine *machine
	sent    time.Time
	ended   time.Time
	// status is zero if the channel ended without a complete answer, for the reason err.
	status int
	err    error
}

// caller sends requests to one machine, one after the other on a kept channel.
type caller struct {
	machine  *machine
	log      *record
	client   *http.Client
	patience time.Duration
}

// callerSpread is the time in which the callers of a load send their first requests.
const callerSpread = 300 * time.Millisecond

var lastID atomic.Uint64

func newCaller(m *machine, patience time.Duration) *caller {
	return &caller{
		machine:  m,
		log:      m.log,
		patience: patience,
		client: &http.Client{
			Timeout: patience + time.Second,
			Transport: &http.Transport{
				DisableCompression: true,
			},
		},
	}
}

// send sends one request and returns how it ended. The key is not sent if it is negative.
func (c *caller) send(method, hostName, path string, key int) outcome {
	o := outcome{
		id:      fmt.Sprintf("%016x", lastID.Add(1)),
		machine: c.machine,
	}
	var body []byte
	if method == http.MethodPost {
		body = bytes.Repeat([]byte("order "), 200)
	}
	request, err := http.NewRequest(method, "http://"+c.machine.callers+path, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	// Without GetBody, the client does not send a request a second time by itself.
	request.GetBody = nil
	request.Host = hostName
	request.Header.Set("Attempt-Id", o.id)
	request.Header.Set("Time-Remaining-Ms", strconv.FormatInt(c.patience.Milliseconds(), 10))
	if key >= 0 {
		request.Header.Set("Shard-Key", strconv.Itoa(key))
	}
	o.sent = time.Now()
	answer, err := c.client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, answer.Body)
		_ = answer.Body.Close()
	}
	o.ended = time.Now()
	if err != nil {
		o.err = err
		c.log.add("client at %s: %s %s, sent at %.3f s: no complete answer: %v", c.machine.name, method, o.id, c.log.since(o.sent).Seconds(), err)
		return o
	}
	o.status = answer.StatusCode
	c.log.add("client at %s: %s %s, sent at %.3f s: %d", c.machine.name, method, o.id, c.log.since(o.sent).Seconds(), o.status)
	return o
}

// load is a steady load of callers, whose requests it notes.
type load struct {
	stop chan struct{}
	wg   sync.WaitGroup

	mu  sync.Mutex
	all []outcome
}

// startLoad starts callers at machines, each of which sends its next request after a pause of about that length.
func startLoad(machines []*machine, callersEach int, patience, pause time.Duration, send func(c *caller) outcome) *load {
	l := &load{
		stop: make(chan struct{}),
	}
	for _, m := range machines {
		for range callersEach {
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				time.Sleep(rand.N(callerSpread))
				l.run(newCaller(m, patience), pause, send)
			}()
		}
	}
	return l
}

func (l *load) run(c *caller, pause time.Duration, send func(c *caller) outcome) {
	for {
		select {
		case <-l.stop:
			return
		default:
		}
		o := send(c)
		l.mu.Lock()
		l.all = append(l.all, o)
		l.mu.Unlock()
		time.Sleep(pause/2 + rand.N(pause))
	}
}

// end ends the load and returns how its requests ended.
func (l *load) end() []outcome {
	close(l.stop)
	l.wg.Wait()
	return l.all
}
