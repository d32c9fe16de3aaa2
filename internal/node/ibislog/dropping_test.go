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

// gated is a reader that takes lines only once it is opened.
type gated struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gated) Write(b []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func TestDroppingNeverBlocks(t *testing.T) {
	g := &gated{open: make(chan struct{})}
	d := ibislog.NewDropping(g)
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
		t.Fatal("a writer was blocked by a reader that takes nothing")
	}
	close(g.open)
	deadline := time.Now().Add(10 * time.Second)
	for {
		// The reader has room again once it has taken some lines; the next line then tells how many were dropped.
		_, _ = fmt.Fprintln(d, "later")
		g.mu.Lock()
		text := g.text.String()
		g.mu.Unlock()
		if strings.Contains(text, "log lines were dropped") {
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("no line tells how many were dropped")
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
	d := ibislog.NewDropping(&b)
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
