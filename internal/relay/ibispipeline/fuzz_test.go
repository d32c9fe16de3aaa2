package ibispipeline_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// choices draws a case from the bytes of a fuzzer; without bytes all choices are 0.
type choices []byte

func (c *choices) next(n int) int {
	if len(*c) == 0 {
		return 0
	}
	b := (*c)[0]
	*c = (*c)[1:]
	return int(b) % n
}

// opaqueMark is in every request that is well-formed, but whose end only http.Server finds.
const opaqueMark = "Opaque: 1\r\n"

// script draws the requests of a connection. The paths tell the handler what to do: kind, number, answer bytes and milliseconds.
func script(c *choices) string {
	var text strings.Builder
	for i := range 1 + c.next(14) {
		kind := "aaaaaaxxcp"[c.next(10)]
		path := fmt.Sprintf("/%c/%d/%d/%d", kind, i, []int{0, 3, 700, 5000, 40_000}[c.next(5)], c.next(3))
		body := strings.Repeat("b", []int{0, 1, 200, 9000}[c.next(4)])
		switch c.next(16) {
		case 0, 1:
			text.WriteString(post(path, body))
		case 2:
			text.WriteString(strings.Replace(get(path), "GET", "HEAD", 1))
		case 3:
			fmt.Fprintf(&text, "POST %s HTTP/1.1\r\nHost: a\r\n"+opaqueMark+"Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", path, len(body)+1, body+"b")
		case 4:
			text.WriteString([]string{
				strings.Replace(get(path), "1.1", "1.0", 1), get(path, "Connection: close"), "GET\r\n\r\n", get(path, "bad name: 1"),
				strings.ReplaceAll(get(path), "\r\n", "\n"), get(path, "Content-Length: 2", "Content-Length: 2") + "bb",
				"\r\n" + get(path), get(path, "X: "+strings.Repeat("h", 17<<10)), get(path, "Expect: 100-continue", "Content-Length: 3") + "bbb",
				get(path, " folded"), get(path, "Transfer-Encoding: chunked", "Opaque: 1") + "0\r\n\r\n", get(path, "Upgrade: h2c", "Connection: upgrade"),
			}[c.next(12)])
		case 5:
			text.WriteString(get(path, "X: "+strings.Repeat("h", 5000)))
		case 6:
			text.WriteString(get(path, "Content-Length: "+strconv.Itoa(len(body))) + body)
		case 7:
			text.WriteString("DELETE" + get(path)[len("GET"):])
		default:
			text.WriteString(get(path, "Connection: keep-alive"))
		}
	}
	return text.String()
}

// scripted is the handler of the requests of one connection, and notices requests that run beside others though they must not.
type scripted struct {
	mu       sync.Mutex
	running  map[int]bool
	ran      map[int]bool
	allowed  int
	violated []string
}

func (h *scripted) begin(number int, alone bool, what string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ran[number] {
		h.violated = append(h.violated, fmt.Sprintf("%d ran twice: %s", number, what))
	}
	for other, otherAlone := range h.running {
		if alone || otherAlone || other == number {
			h.violated = append(h.violated, fmt.Sprintf("%d ran beside %d", number, other))
		}
	}
	h.ran[number], h.running[number] = true, alone
	if len(h.running) > h.allowed {
		h.violated = append(h.violated, fmt.Sprintf("%d ran at once", len(h.running)))
	}
}

func (h *scripted) end(number int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.running, number)
}

func (h *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var kind rune
	var number, size, pause int
	_, err := fmt.Sscanf(r.URL.Path, "/%c/%d/%d/%d", &kind, &number, &size, &pause)
	isRead := r.Method == http.MethodGet || r.Method == http.MethodHead
	alone := err != nil || kind == 'x' || !isRead
	// Others than reads are alone without the handler's help.
	if conn := connOf(r); conn != nil && isRead && conn.Admit(!alone) != nil {
		panic(http.ErrAbortHandler)
	}
	h.begin(number, alone, r.Method+" "+r.RequestURI)
	defer h.end(number)
	received, _ := io.Copy(io.Discard, r.Body)
	time.Sleep(time.Duration(pause) * time.Millisecond)
	w.Header()["Date"] = nil
	w.Header().Set("Received", strconv.FormatInt(received, 10))
	if kind == 'c' {
		w.Header().Set("Connection", "close")
	}
	if number%2 == 0 {
		w.Header().Set("Content-Length", strconv.Itoa(size+len(r.URL.Path)))
	}
	_, _ = io.WriteString(w, r.URL.Path)
	for part := 1000; size > 0; size -= part {
		part = min(part, size)
		_, _ = w.Write(bytes.Repeat([]byte{byte('0' + number%10)}, part))
		if kind == 'p' && size < 2000 {
			panic(http.ErrAbortHandler)
		}
		if number%3 == 0 {
			_ = http.NewResponseController(w).Flush()
		}
	}
}

func newScripted(allowed int) *scripted {
	return &scripted{running: make(map[int]bool), ran: make(map[int]bool), allowed: allowed}
}

// recorded is a connection whose bytes to read are given, and which records what is written.
type recorded struct {
	net.Conn
	input  io.Reader
	output bytes.Buffer
	closed chan struct{}
	once   sync.Once
}

func (r *recorded) Read(p []byte) (int, error)  { return r.input.Read(p) }
func (r *recorded) Write(p []byte) (int, error) { return r.output.Write(p) }
func (r *recorded) Close() error {
	r.once.Do(func() { close(r.closed) })
	return nil
}
func (r *recorded) RemoteAddr() net.Addr             { return &net.TCPAddr{} }
func (r *recorded) LocalAddr() net.Addr              { return &net.TCPAddr{} }
func (r *recorded) SetReadDeadline(time.Time) error  { return nil }
func (r *recorded) SetWriteDeadline(time.Time) error { return nil }

// Accept returns the connection once, as a listener.
func (r *recorded) Accept() (net.Conn, error) {
	if r.Conn == nil {
		return nil, net.ErrClosed
	}
	r.Conn = nil
	return r, nil
}

func (r *recorded) Addr() net.Addr { return &net.TCPAddr{} }

// oracle returns what http.Server answers to the text without a pipeline.
func oracle(text string) string {
	r := &recorded{input: strings.NewReader(text), closed: make(chan struct{})}
	r.Conn = r
	_ = (&http.Server{Handler: newScripted(1)}).Serve(acceptor{r})
	<-r.closed
	return r.output.String()
}

// acceptor is a listener whose end is not that of its connection.
type acceptor struct{ net.Listener }

func (acceptor) Close() error { return nil }

// FuzzPipeline compares the answers to pipelined requests byte for byte with those of http.Server without a pipeline, and checks that
// no request runs twice, or beside one that must run alone.
func FuzzPipeline(f *testing.F) {
	random := rand.New(rand.NewPCG(1, 19))
	for range 100 {
		data := make([]byte, 20+random.IntN(120))
		for i := range data {
			data[i] = byte(random.Uint32())
		}
		f.Add(data, uint16(random.Uint32()))
		f.Add(data, uint16(0))
	}
	f.Fuzz(func(t *testing.T, data []byte, cut uint16) {
		c := choices(data)
		allowed, budgetBytes := 2+c.next(8), []int64{-1, 0, 6000}[c.next(3)]
		piece, slow := []int{1 << 20, 3, 90, 1500, 5000}[c.next(5)], c.next(8) == 7
		text := script(&c)
		// Some cuts are far behind the text and change nothing.
		isCut := cut > 0 && int(cut) < len(text)
		if isCut {
			text = text[:cut]
		}
		want := oracle(text)
		handler := newScripted(allowed)
		server := serve(handler, allowed, 3000, budgetBytes)
		defer server.close()
		conn := server.dial().(*net.TCPConn)
		defer func() { _ = conn.Close() }()
		if slow {
			_ = conn.SetReadBuffer(8000)
		}
		written := make(chan error, 1)
		go func() {
			for rest := text; len(rest) > 0; {
				n, err := io.WriteString(conn, rest[:min(len(rest), piece)])
				if err != nil {
					written <- err
					return
				}
				rest = rest[n:]
				if piece < 100 && len(rest)%17 == 0 {
					runtime.Gosched()
				}
			}
			if isCut {
				_ = conn.CloseWrite()
			}
			written <- nil
		}()
		got := make([]byte, len(want))
		n, reset := 0, false
		for n < len(want) {
			if slow {
				runtime.Gosched()
			}
			m, err := conn.Read(got[n:min(len(want), n+3000)])
			n += m
			if err != nil {
				isReset := errors.Is(err, syscall.ECONNRESET)
				if !isReset {
					// The writer may have got the reset instead.
					failed := <-written
					isReset = errors.Is(failed, syscall.ECONNRESET) || errors.Is(failed, syscall.EPIPE)
				}
				// Without a split, and behind a request whose end only http.Server finds, it closes with unread bytes as ever.
				reset = isReset && (server.pipeline.Stats().Connections == 0 || strings.Contains(text, opaqueMark))
				if !errors.Is(err, io.EOF) && !reset {
					t.Errorf("read: %v", err)
				}
				break
			}
		}
		if (isCut || reset) && !strings.HasPrefix(want, string(got[:n])) || !isCut && !reset && string(got[:n]) != want {
			t.Fatalf("text %q\nallowed %d, cut %t, piece %d\ngot  %q\nwant %q", text, allowed, isCut, piece, got[:n], want)
		}
		_ = conn.CloseWrite()
		if rest, _ := io.ReadAll(conn); len(rest) > 0 && !bytes.HasPrefix(rest, []byte("HTTP/1.1 400")) {
			t.Errorf("more answers than requests: %q", rest)
		}
		_ = conn.Close()
		for range 2000 {
			if server.connections.CloseIdle() == 0 && server.budget.reserved.Load() == 0 && server.pipeline.Stats().HeldBytes == 0 {
				break
			}
			time.Sleep(time.Millisecond)
		}
		if open, held := server.connections.CloseIdle(), server.pipeline.Stats().HeldBytes; open != 0 || held != 0 || server.budget.reserved.Load() != 0 {
			t.Errorf("%d connections are open, %d bytes are held, %d reserved", open, held, server.budget.reserved.Load())
		}
		// The held requests and the buffered answers.
		if most := server.budget.most.Load(); most > 16<<10+3000 {
			t.Errorf("%d bytes were held", most)
		}
		handler.mu.Lock()
		defer handler.mu.Unlock()
		if len(handler.violated) > 0 {
			t.Errorf("%q: %s", text, handler.violated)
		}
	})
}
