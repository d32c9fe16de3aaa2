package ibismemory_test

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/ibisridge/ibisridge/internal/request/ibismemory"
)

// TestBudget guards against a part that takes another's reserve, or all together more than the total, in any order of events.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := ibismemory.Limits{
			Total:           ibismemory.Amount{Connections: 40, Bytes: 4000},
			ConnectionBytes: 10,
		}
		for _, p := range ibismemory.Parts() {
			limits.Reserve(p, ibismemory.Amount{Connections: 4, Bytes: 100}, ibismemory.Amount{Connections: 30, Bytes: 3000})
		}
		b := ibismemory.New(limits)
		held := map[ibismemory.Part][]int64{}
		for range rapid.IntRange(1, 200).Draw(t, "events") {
			p := rapid.SampledFrom(ibismemory.Parts()).Draw(t, "part")
			bytes := rapid.Int64Range(1, 700).Draw(t, "bytes")
			used := b.Used(p)
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0:
				if ok := b.Open(p); !ok && used.Connections < 4 && used.Bytes+10 <= 100 {
					t.Fatalf("%s was refused a connection of its reserve: %+v", p, used)
				}
			case 1:
				if used.Connections > 0 {
					b.Close(p)
				}
			case 2:
				ok := b.Hold(p, bytes)
				if ok {
					held[p] = append(held[p], bytes)
				}
				if !ok && used.Bytes+bytes <= 100 {
					t.Fatalf("%s was refused %d bytes of its reserve: %+v", p, bytes, used)
				}
			case 3:
				if n := len(held[p]); n > 0 {
					b.Release(p, held[p][n-1])
					held[p] = held[p][:n-1]
				}
			}
			var sum ibismemory.Amount
			for _, q := range ibismemory.Parts() {
				used := b.Used(q)
				sum.Connections += used.Connections
				sum.Bytes += used.Bytes
				want := int64(10 * used.Connections)
				for _, n := range held[q] {
					want += n
				}
				if used.Bytes != want || used.Connections > 30 || used.Bytes > 3000 {
					t.Fatalf("%s holds %+v, %d bytes were counted", q, used, want)
				}
			}
			if sum.Connections > 40 || sum.Bytes > 4000 {
				t.Fatalf("all parts hold %+v", sum)
			}
		}
	})
}

// TestRankVictims guards against closing a connection whose request runs or whose client makes progress, before those that
// hold as much and do not.
func TestRankVictims(t *testing.T) {
	candidate := func(state ibismemory.State, held, moved int64, waited time.Duration) ibismemory.Candidate {
		return ibismemory.Candidate{State: state, Held: held, Moved: moved, Waited: waited}
	}
	for _, test := range []struct {
		name       string
		candidates []ibismemory.Candidate
		want       []int
	}{
		{
			name: "running, and just begun",
			candidates: []ibismemory.Candidate{
				candidate(ibismemory.StateRunning, 1<<20, 0, time.Hour),
				candidate(ibismemory.StateReceiving, 1<<20, 0, 100*time.Millisecond),
				candidate(ibismemory.StateIdle, 1<<20, 0, 500*time.Millisecond),
			},
		},
		{
			name: "stalled before steady, steady before idle",
			candidates: []ibismemory.Candidate{
				candidate(ibismemory.StateIdle, 1000, 0, time.Second),
				candidate(ibismemory.StateReceiving, 1000, 3<<10, time.Second),
				candidate(ibismemory.StateSending, 1000, 10, time.Second),
				candidate(ibismemory.StateUnused, 900, 0, time.Second),
			},
			want: []int{2, 3, 1, 0},
		},
		{
			name: "the longest and largest",
			candidates: []ibismemory.Candidate{
				candidate(ibismemory.StateReceiving, 1000, 0, time.Second),
				candidate(ibismemory.StateReceiving, 5000, 0, time.Second),
				candidate(ibismemory.StateReceiving, 1000, 0, 3*time.Second),
			},
			want: []int{1, 2, 0},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			got := ibismemory.RankVictims(test.candidates)
			if len(got) != len(test.want) {
				t.Fatalf("victims %v, must be %v", got, test.want)
			}
			for i := range got {
				if got[i] != test.want[i] {
					t.Fatalf("victims %v, must be %v", got, test.want)
				}
			}
		})
	}
}

// TestIsEnoughFreed guards against closing one connection at a time for each of a crowd, and against closing all for a few bytes.
func TestIsEnoughFreed(t *testing.T) {
	for _, test := range []struct {
		closed, candidates int
		freed, bytes       int64
		want               bool
	}{
		{closed: 0, candidates: 10, want: false},
		{closed: 1, candidates: 10, want: true},
		{closed: 1, candidates: 320, want: false},
		{closed: 11, candidates: 320, want: true},
		{closed: 11, candidates: 320, freed: 5, bytes: 6, want: false},
		{closed: 12, candidates: 320, freed: 6, bytes: 6, want: true},
	} {
		if got := ibismemory.IsEnoughFreed(test.closed, test.candidates, test.freed, test.bytes); got != test.want {
			t.Errorf("%+v: got %t", test, got)
		}
	}
}

// FuzzHeadCount guards against a head that net/http parses into more fields than were counted while it was read, cut anywhere.
func FuzzHeadCount(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3)
	f.Add("GET / HTTP/1.1\r\nHost: a\r\n"+strings.Repeat("a:\r\n", 100)+"\r\n", 7)
	f.Add("POST /x HTTP/1.1\nHost:a\nb:1\nb:2\nContent-Length: 3\n\nabc", 1)
	f.Add("GET / HTTP/1.1\r\nHost: a\r\nx: a\r\n b\r\n\r\n", 5)
	f.Fuzz(func(t *testing.T, text string, size int) {
		var count ibismemory.HeadCount
		size = max(1, size%64)
		for rest := []byte(text); len(rest) > 0; rest = rest[min(size, len(rest)):] {
			count.Add(rest[:min(size, len(rest))])
		}
		if count.Bytes != len(text) {
			t.Fatalf("%d bytes counted of %d", count.Bytes, len(text))
		}
		request, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		if err != nil {
			return
		}
		fields, length := 0, 0
		for name, values := range request.Header {
			for _, value := range values {
				fields++
				length += len(name) + len(value)
			}
		}
		if fields > count.Lines || int64(length) > count.Cost() {
			t.Fatalf("%d fields of %d bytes, counted as %+v", fields, length, count)
		}
	})
}
