package ibislog_test

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/node/ibislog"
)

// gatedWriter blocks every write until it is opened.
type gatedWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gatedWriter) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

// TestDroppingNeverBlocks guards against a node that stalls because the reader of its log does not read. Writes must
// return while the destination is blocked, and a later line must report how many lines were dropped.
func TestDroppingNeverBlocks(t *testing.T) {
	g := &gatedWriter{open: make(chan struct{})}
	d := ibislog.NewDroppingWriter(g)
	const lines = 10_000
	ended := make(chan struct{})
	go func() {
		for i := range lines {
			_, _ = fmt.Fprintf(d, "line %d\n", i)
		}
		close(ended)
	}()
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("Write blocked on a destination that takes nothing")
	}
	close(g.open)
	deadline := time.Now().Add(10 * time.Second)
	for {
		// The queue has room again once some lines are written; the next write then reports how many were dropped.
		_, _ = fmt.Fprintln(d, "later")
		g.mu.Lock()
		text := g.text.String()
		g.mu.Unlock()
		if strings.Contains(text, "log lines were dropped") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no line reports how many were dropped")
		}
		time.Sleep(time.Millisecond)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	if _, err := d.Write([]byte("after the end\n")); err != nil {
		t.Fatal(err)
	}
}

func TestDroppingKeepsOrder(t *testing.T) {
	var b bytes.Buffer
	d := ibislog.NewDroppingWriter(&b)
	for i := range 100 {
		_, _ = fmt.Fprintf(d, "%d\n", i)
	}
	if err := d.Close(); err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	for i := range 100 {
		_, _ = fmt.Fprintf(&want, "%d\n", i)
	}
	if b.String() != want.String() {
		t.Errorf("got %q", b.String())
	}
}
