package rig

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// pullBytes is the length of an answer, and pullBudget how long its client waits for it.
	pullBytes  = 540_000
	pullBudget = 4 * time.Second
	// pullDepth is the number of requests that a client has sent and not got the whole answer to.
	pullDepth = 8
	// readRate is how fast a slow client reads, in bytes per second: an answer each 0.39 s.
	readRate = 1_400_000
	// clientSegment and clientBuffer are the segment size and the receive buffer of a client on an ordinary network.
	clientSegment = 1460
	clientBuffer  = 64 << 10
	// pullClients is the number of clients, and pullTime how long each sends requests.
	pullClients = 4
	pullTime    = 75 * time.Second
)

// slowReader has clients that pipeline downloads on one connection and read them slowly and steadily.
func slowReader(w *world) error {
	if err := w.startArchive(pullBytes); err != nil {
		return err
	}
	var group sync.WaitGroup
	clients := make([]*puller, pullClients)
	for i := range clients {
		clients[i] = &puller{
			world: w,
			name:  fmt.Sprintf("client-%d", i),
			at:    w.instances[0].callers,
			rate:  readRate,
			span:  pullTime,
		}
		if !w.trouble {
			clients[i].rate = 100 * readRate
		}
		group.Go(clients[i].run)
	}
	group.Wait()
	cut := 0
	for _, c := range clients {
		w.record.add("%s: %d complete answers, %d of them later than %s; %d requests passed on and left without an answer", c.name, c.complete, c.late, pullBudget, c.cut)
		cut += c.cut
		if c.complete == 0 {
			return fmt.Errorf("%s got no answer", c.name)
		}
	}
	if cut > allowedCuts {
		w.record.violation("LOST: %d requests of kept connections were passed on to sound backends, and their connections were closed without an answer", cut)
	}
	return nil
}

// puller is a client that pipelines downloads on one connection.
type puller struct {
	world    *world
	name     string
	at       string
	rate     int
	span     time.Duration
	sent     int
	complete int
	late     int
	cut      int
}

// pull is a request that has no whole answer yet.
type pull struct {
	id string
	at time.Time
}

// run sends requests on one connection after the other.
func (p *puller) run() {
	for end := time.Now().Add(p.span); time.Now().Before(end); {
		if err := p.useConnection(end); err != nil {
			p.world.record.add("%s: %v", p.name, err)
			time.Sleep(time.Second)
		}
	}
}

// useConnection sends requests on a connection until the end, or until the connection ends.
func (p *puller) useConnection(end time.Time) error {
	dialer := net.Dialer{
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(fd uintptr) {
				_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_MAXSEG, clientSegment)
				_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, clientBuffer)
			})
		},
	}
	conn, err := dialer.Dial("tcp4", p.at)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	opened := time.Now()
	reader := bufio.NewReaderSize(&steadyReader{
		source: conn,
		rate:   p.rate,
		began:  time.Now(),
	}, 4<<10)
	var open []pull
	for answered := 0; ; answered++ {
		for len(open) < pullDepth && time.Now().Before(end) {
			p.sent++
			r := pull{
				id: fmt.Sprintf("%s-%d", p.name, p.sent),
				at: time.Now(),
			}
			if _, err := fmt.Fprintf(conn, "GET /pull/%s HTTP/1.1\r\nHost: archive.example\r\nAttempt-Id: %s\r\nTime-Remaining-Ms: %d\r\n\r\n", r.id, r.id, pullBudget.Milliseconds()); err != nil {
				break
			}
			open = append(open, r)
		}
		if len(open) == 0 {
			return nil
		}
		closes, err := p.read(reader, open[0])
		if err != nil {
			p.lose(open, answered, opened, err)
			return err
		}
		open = open[1:]
		if closes {
			p.world.record.add("%s: the answer closes the connection; %d requests behind it are sent again", p.name, len(open))
			return nil
		}
	}
}

// read reads one answer, and reports whether the connection ends with it.
func (p *puller) read(reader *bufio.Reader, r pull) (closes bool, err error) {
	response, err := http.ReadResponse(reader, nil)
	if err != nil {
		return false, fmt.Errorf("answer to %s: %w", r.id, err)
	}
	n, err := io.Copy(io.Discard, response.Body)
	if err != nil {
		return false, fmt.Errorf("answer to %s, after %d bytes: %w", r.id, n, err)
	}
	took := time.Since(r.at)
	if got := response.Header.Get("Attempt-Id"); got != r.id {
		p.world.record.violation("MIXED: the answer to %s has the id %q", r.id, got)
	}
	p.world.record.add("%s: %s is answered %d with %d bytes after %d ms", p.name, r.id, response.StatusCode, n, took.Milliseconds())
	if response.StatusCode == http.StatusOK {
		p.complete++
		if took > pullBudget {
			p.late++
		}
	}
	return response.Close, nil
}

// lose counts the requests of a connection that has ended, which had been passed on and whose time had not passed.
func (p *puller) lose(open []pull, answered int, opened time.Time, err error) {
	for _, r := range open {
		p.world.book.mu.Lock()
		runs := p.world.book.runs[r.id]
		p.world.book.mu.Unlock()
		age := time.Since(r.at)
		p.world.record.add("%s: %s has no answer; it ran %d times and was sent %d ms before the end of the connection", p.name, r.id, runs, age.Milliseconds())
		if runs > 0 && age < pullBudget {
			p.cut++
		}
	}
	p.world.record.add("%s: the connection ended after %.1f s and %d answers: %v", p.name, time.Since(opened).Seconds(), answered, err)
}

// steadyReader reads at a steady rate.
type steadyReader struct {
	source io.Reader
	rate   int
	began  time.Time
	read   int
}

// Read reads what the rate allows.
func (s *steadyReader) Read(b []byte) (int, error) {
	due := s.began.Add(time.Duration(float64(s.read) / float64(s.rate) * float64(time.Second)))
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	} else {
		// Time in which nothing came is not caught up.
		s.began, s.read = time.Now(), 0
	}
	n, err := s.source.Read(b)
	s.read += n
	return n, err
}
