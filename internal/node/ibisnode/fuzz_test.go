package ibisnode

import (
	"bufio"
	"bytes"
	"encoding/gob"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/rpc"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisrollout"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/node/ibisgate"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/node/ibissettings"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibismove"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisplace"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// answerIdleTimeout is the time without further answer bytes after which exchange closes the connection.
const answerIdleTimeout = 3 * time.Millisecond

// maxFirstAttempts bounds the attempts until a first answer arrives within answerIdleTimeout.
const maxFirstAttempts = 1000

// FuzzFront checks that no bytes from a caller make a handler panic, and that every answer is valid HTTP.
func FuzzFront(f *testing.F) {
	auth := "Authorization: Bearer " + callerToken + "\r\n"
	for _, text := range []string{
		"GET /erp/MAT-4711 HTTP/1.1\r\nHost: a\r\n" + auth + "\r\n",
		"POST /order/MAT-1 HTTP/1.1\r\nHost: a\r\n" + auth + "Idempotency-Key: k1\r\nContent-Length: 2\r\n\r\nok",
		"POST /order/MAT-1 HTTP/1.1\r\nHost: a\r\n" + auth + "Idempotency-Key: k2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
		"POST /ibis/tickets HTTP/1.1\r\nHost: a\r\n" + auth + "Content-Length: 2\r\n\r\n{}",
		"GET /erp/MAT-%2e%2e HTTP/1.1\r\nHost: a\r\n" + auth + "Ibis-Deadline: -1s\r\n\r\n",
		"CONNECT /_ibis/rpc HTTP/1.0\r\n\r\n", "GET // HTTP/1.1\r\nHost: a\r\n\r\n", "\x16\x03\x01\x02\x00",
	} {
		f.Add([]byte(text))
	}
	node := newSingleNode(f)
	caught := make(chan any, 1)
	server := newServer(catchPanics(node.newRouter(f).Callers(), caught), ibissettings.Default().Limits, nil, false, zap.NewNop())
	listener := newMemoryListener()
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() { _ = server.Close() })
	served := false
	for tries := 0; tries < maxFirstAttempts && !served; tries++ {
		served = bytes.Contains(listener.exchange([]byte("GET /erp/MAT-4711 HTTP/1.1\r\nHost: a\r\n"+auth+"\r\n")), []byte(" 200 OK"))
	}
	if !served {
		f.Fatal("the router answered no request with 200")
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		answers := listener.exchange(data)
		select {
		case p := <-caught:
			t.Fatalf("a handler panicked: %v", p)
		default:
		}
		if len(answers) == 0 {
			return
		}
		if _, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(answers)), nil); err != nil {
			t.Fatalf("answer %q: %v", answers, err)
		}
	})
}

func catchPanics(next http.Handler, caught chan<- any) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			p := recover()
			if err, ok := p.(error); p != nil && !(ok && errors.Is(err, http.ErrAbortHandler)) {
				caught <- p
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// controlCall is one RPC method with arguments and a reply.
type controlCall struct {
	method string
	args   any
	reply  any
}

func controlCalls() []controlCall {
	page := ibisslot.PageID{Space: firstSlot.Space}
	transfers := []ibismove.Transfer{{
		Unit:   ibismove.Unit{Position: 1},
		Target: ibisid.Member{Name: singleNodeName},
		Token:  7,
	}}
	var records bytes.Buffer
	_ = gob.NewEncoder(&records).Encode([]ibisidempotency.Record{{
		Slot:  firstSlot,
		Token: 7,
	}})
	return []controlCall{
		{"Ownership.Heartbeat", ibisowner.HeartbeatArgs{Holder: ibisid.Member{Name: "espoo-1"}}, &ibisowner.HeartbeatReply{}},
		{"Ownership.Suspect", ibisowner.SuspectArgs{Members: []ibisid.Member{{Name: "espoo-1"}}}, &struct{}{}},
		{"Ownership.Ask", ibisowner.AskArgs{Members: []ibisid.Member{{Name: "espoo-1"}}}, &ibisowner.AskReply{}},
		{"Ownership.Move", ibisowner.MoveArgs{Moves: []ibisplace.Move{{Slot: firstSlot}}}, &struct{}{}},
		{"Ownership.HandOver", ibisowner.HandOverArgs{Page: page, Transfers: transfers, Parts: 1, Data: records.Bytes()}, &struct{}{}},
		{"Ownership.Cancel", ibisowner.CancelArgs{Page: page, Transfers: transfers}, &struct{}{}},
		{"Document.Hint", ibisdocsync.HintArgs{From: "espoo-1", Version: ibissection.NewVersion(9, "a")}, &ibisdocsync.None{}},
		{"Document.Report", ibisdocsync.ReportArgs{From: "espoo-1", Report: ibisrollout.Report{}}, &ibisdocsync.HintArgs{}},
		{"Document.Records", ibisdocsync.RecordsArgs{After: ibissection.NewVersion(9, "a")}, &ibisdocsync.RecordsReply{}},
		{"Document.Snapshot", ibisdocsync.None{}, &ibisdocsync.SnapshotReply{}},
		{"Document.Confirm", ibisdocsync.None{}, &ibisdocsync.ConfirmReply{}},
		{"Document.Exchange", ibisdocsync.HintArgs{From: "espoo-1", Version: "x"}, &ibisdocsync.HintArgs{}},
		{"Rows.Copy", ibisrowcache.CopyArgs{Region: "uusimaa"}, &ibisrowcache.CopyReply{}},
		rowExchangeCall(ibisslot.PageID{Space: firstSlot.Space}.RowKey(), ibisslot.NewPage(page, 1).Encode()),
		rowExchangeCall(ibislease.RowKey(singleNodeName), []byte("not JSON")),
		rowExchangeCall(ibislease.RowKey("espoo-1"), ibislease.Row{Member: ibisid.Member{Name: "espoo-1", Incarnation: 1}}.Encode()),
		rowExchangeCall(ibislease.DeathsKey("helsinki-a", singleNodeName), []byte(`{"members":7}`)),
		{"Rows.Exchange", ibisrowcache.ExchangeArgs{From: "espoo-1", Message: ibisgossip.Message{
			Digest: &ibisgossip.Digest{}, Compare: []int{-1, 999}, Snapshot: 9999, Root: 1,
		}}, &ibisrowcache.None{}},
	}
}

// rowExchangeCall returns a call that delivers a copy of a row at a version higher than any stored one.
func rowExchangeCall(key string, value []byte) controlCall {
	return controlCall{"Rows.Exchange", ibisrowcache.ExchangeArgs{
		From: "espoo-1",
		Message: ibisgossip.Message{
			Rows: []ibisgossip.Row{{
				Key:     key,
				Version: 1 << 40,
				Value:   value,
			}},
		},
	}, &ibisrowcache.None{}}
}

// FuzzControlCalls checks that a node survives control calls with any arguments. It must keep its slots, unless a call
// delivered coordination rows that are not in the table.
func FuzzControlCalls(f *testing.F) {
	for i := range controlCalls() {
		f.Add(uint8(i), []byte{}, uint8(i), []byte("\x01\xff\x02\x80\x03\x01\x00\x07"))
	}
	f.Fuzz(func(t *testing.T, first uint8, firstData []byte, second uint8, secondData []byte) {
		node := newSingleNode(t)
		client := dialControl(t, node)
		rowsInjected := false
		call := func(number uint8, data []byte) {
			c := controlCalls()[int(number)%len(controlCalls())]
			args := reflect.New(reflect.TypeOf(c.args))
			args.Elem().Set(reflect.ValueOf(c.args))
			(&argumentMutator{input: data, self: node.manager.Self().Member}).mutate(args.Elem())
			if err := client.Call(c.method, args.Interface(), c.reply); errors.Is(err, io.ErrUnexpectedEOF) {
				t.Fatalf("%s: %v", c.method, err)
			}
			node.timer.Advance(time.Second)
			rowsInjected = rowsInjected || c.method == "Rows.Exchange"
		}
		call(first, firstData)
		call(second, secondData)
		if _, owned := node.manager.Owner(firstSlot, ""); !owned && !rowsInjected {
			t.Fatal("the node lost its slots")
		}
	})
}

// FuzzControlBytes checks that a node survives any bytes on a control connection.
func FuzzControlBytes(f *testing.F) {
	for _, c := range controlCalls() {
		var b bytes.Buffer
		encoder := gob.NewEncoder(&b)
		_ = encoder.Encode(rpc.Request{ServiceMethod: c.method, Seq: 1})
		_ = encoder.Encode(c.args)
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xf8, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff})
	node := newSingleNode(f)
	control := controlServer(node)
	server := newServer(control, ibissettings.Default().Limits, nil, false, zap.NewNop())
	listener := newMemoryListener()
	go func() { _ = server.Serve(listener) }()
	f.Cleanup(func() { _ = server.Close() })
	f.Fuzz(func(_ *testing.T, data []byte) {
		listener.exchange(append([]byte("CONNECT /_ibis/rpc HTTP/1.0\r\n\r\n"), data...))
		node.timer.Advance(100 * time.Millisecond)
	})
}

func controlServer(node *singleNode) *ibismember.Server {
	control := ibismember.NewServer(http.NotFoundHandler())
	node.documents.Register(control)
	node.manager.Register(control)
	node.rows.Register(control)
	return control
}

func dialControl(t *testing.T, node *singleNode) *rpc.Client {
	listener := newMemoryListener()
	server := newServer(controlServer(node), ibissettings.Default().Limits, nil, false, zap.NewNop())
	go func() { _ = server.Serve(listener) }()
	near, far := net.Pipe()
	listener.conns <- far
	if _, err := io.WriteString(near, "CONNECT /_ibis/rpc HTTP/1.0\r\n\r\n"); err != nil {
		t.Fatal(err)
	}
	reader := bufio.NewReader(near)
	for line := " "; strings.TrimSpace(line) != ""; {
		var err error
		if line, err = reader.ReadString('\n'); err != nil {
			t.Fatal(err)
		}
	}
	client := rpc.NewClient(near)
	t.Cleanup(func() {
		_ = client.Close()
		_ = far.Close()
		_ = server.Close()
	})
	return client
}

// argumentMutator mutates call arguments by fuzz input: a byte for each field selects whether and how it changes.
type argumentMutator struct {
	input []byte
	self  ibisid.Member
}

func (m *argumentMutator) next() byte {
	if len(m.input) == 0 {
		return 0
	}
	b := m.input[0]
	m.input = m.input[1:]
	return b
}

func (m *argumentMutator) mutate(v reflect.Value) {
	if v.Type() == reflect.TypeFor[ibisid.Member]() && m.next()%2 == 1 {
		v.Set(reflect.ValueOf(m.self))
		return
	}
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			if v.Field(i).CanSet() {
				m.mutate(v.Field(i))
			}
		}
	case reflect.Slice:
		m.mutateSlice(v)
	case reflect.String:
		if b := m.next(); b > 0 {
			v.SetString(strings.Repeat(string(rune(b)), int(b)%7))
		}
	case reflect.Bool:
		v.SetBool(v.Bool() != (m.next()%2 == 1))
	case reflect.Int, reflect.Int64:
		v.SetInt(v.Int() + m.number())
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		v.SetUint(v.Uint() + uint64(m.number()))
	default:
	}
}

func (m *argumentMutator) mutateSlice(v reflect.Value) {
	if n := int(m.next() % 5); n > 0 && v.Type().Elem().Kind() != reflect.Uint8 {
		v.Set(reflect.AppendSlice(v, reflect.MakeSlice(v.Type(), n-1, n-1)))
	}
	for i := range v.Len() {
		m.mutate(v.Index(i))
	}
}

// number returns zero, a small number of either sign, or a power of two of either sign.
func (m *argumentMutator) number() int64 {
	switch b := m.next(); b % 4 {
	case 1:
		return int64(int8(m.next()))
	case 2:
		return 1 << (m.next() % 64)
	case 3:
		return -1 << (m.next() % 64)
	default:
		return 0
	}
}

// memoryListener is a net.Listener over in-memory pipes.
type memoryListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{
		conns:  make(chan net.Conn),
		closed: make(chan struct{}),
	}
}

// Accept waits for the next connection.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept return net.ErrClosed.
func (l *memoryListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns an empty address, since connections arrive through exchange and dialControl.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

// exchange sends bytes over a new connection and returns the answer bytes that arrive until the connection closes or is
// idle for answerIdleTimeout.
func (l *memoryListener) exchange(data []byte) []byte {
	near, far := net.Pipe()
	l.conns <- far
	go func() {
		_, _ = near.Write(data)
	}()
	var answers bytes.Buffer
	buffer := make([]byte, 4096)
	for {
		_ = near.SetReadDeadline(time.Now().Add(answerIdleTimeout))
		n, err := near.Read(buffer)
		answers.Write(buffer[:n])
		if err != nil {
			break
		}
	}
	_ = near.Close()
	return answers.Bytes()
}

// FuzzAnnouncement checks that a gate survives any announcement, and that its limit never exceeds the announced slots.
func FuzzAnnouncement(f *testing.F) {
	for _, text := range []string{
		`{"service":"print-floor","address":"127.0.0.1:9","slots":10,"connections":130,"run":"a"}`,
		`{"service":"print-floor","address":"127.0.0.1:9","slots":9223372036854775807,"connections":1,"cold":true}`,
		`{"service":"print-floor","address":"[::1]:9","slots":1,"connections":1,"weight":1e-300,"state":"draining"}`,
		`{"slots":-1}`, `null`, `[`,
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		gate := ibisgate.New(ibistimer.NewFake(time.Unix(1_800_000_000, 0)))
		endpoint := ibisbackend.NewEndpoint(gate.Announce)
		for range 2 {
			endpoint.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, ibisbackend.PathAnnounce, bytes.NewReader(body)))
		}
		server, _ := gate.LatestAnnouncement()
		if limit := gate.Stats().Limit; limit < 0 || limit > server.Slots {
			t.Fatalf("the limit is %d at %d slots", limit, server.Slots)
		}
	})
}
