package ibislease

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var benchSizes = []int{100, 1_000, 17_000}

// BenchmarkWitness measures the time of a heartbeat at a witness of n members, and the memory per member.
func BenchmarkWitness(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) { benchmarkWitness(b, n) })
	}
}

func benchmarkWitness(b *testing.B, n int) {
	now := time.Unix(1000, 0)
	self := member("w", 0)
	members := make([]ibisid.Member, n)
	for i := range members {
		members[i] = member("n", i)
	}
	before := heapBytes()
	w := NewWitness(DefaultTerms(), self, now)
	w.maxWatched = 2 * n
	sent := now
	sendHeartbeat := func(i int) {
		sent = sent.Add(DefaultHeartbeat)
		w.Update(HeartbeatEvent{
			Holder:  members[i%n],
			Witness: self,
			Sent:    sent,
		}, now)
	}
	for i := range n {
		sendHeartbeat(i)
	}
	memory := float64(heapBytes()-before) / float64(n)
	b.ResetTimer()
	for i := range b.N {
		sendHeartbeat(i)
	}
	b.ReportMetric(memory, "B/member")
	b.ReportMetric(gobBytes(), "gobB/heartbeat")
	b.ReportMetric(float64(len(mustEncode(sampleHeartbeat))), "jsonB/heartbeat")
}

// BenchmarkHolder measures one heartbeat period of a holder with n candidates: three acknowledgements, a heartbeat and a
// check of the lease.
func BenchmarkHolder(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			s := newSimulation(1, mutateNothing, false)
			s.healAt = 3 * time.Second
			s.run()
			p := s.holders[0]
			now := s.local(p)
			row, _ := p.holder.Row()
			all := make([]Candidate, n)
			for i := range all {
				all[i].Member = member("x", i)
			}
			p.holder.Update(CandidatesEvent{Candidates: all}, now)
			b.ResetTimer()
			for range b.N {
				now = now.Add(p.holder.terms.Heartbeat)
				for _, witness := range row.Witnesses {
					p.holder.Update(AckEvent{
						Witness: witness,
						Holder:  p.member,
						Sent:    now,
					}, now)
				}
				p.holder.Update(TickEvent{}, now)
				if _, ok := p.holder.Valid(now); !ok {
					b.Fatal("lease not valid although all witnesses acknowledged")
				}
			}
		})
	}
}

var sampleHeartbeat = HeartbeatEvent{
	Holder:  member("node-", 12345),
	Witness: member("node-", 54321),
	Sent:    time.Unix(1000, 5000),
}

// stream is a gob encoder with its output.
type stream struct {
	buffer  bytes.Buffer
	encoder *gob.Encoder
}

var gobStream = newStream()

func newStream() *stream {
	s := &stream{}
	s.encoder = gob.NewEncoder(&s.buffer)
	s.encode(sampleHeartbeat)
	return s
}

func (s *stream) encode(v any) {
	if err := s.encoder.Encode(v); err != nil {
		panic(err)
	}
}

// gobBytes returns the size of a heartbeat on a gob stream that has already sent the type descriptions.
func gobBytes() float64 {
	before := gobStream.buffer.Len()
	gobStream.encode(sampleHeartbeat)
	return float64(gobStream.buffer.Len() - before)
}

func heapBytes() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
