package ibispipeline_test

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
)

// BenchmarkSequential is a caller that waits for each answer, at a server without a pipeline ("direct") and with one. "pipelined" sends
// eight requests at a time.
func BenchmarkSequential(b *testing.B) {
	head := get("/look/x", "User-Agent: bench", "Accept: */*", "Attempt-Id: 0123456789abcdef", "Time-Remaining-Ms: 4000", "X: "+strings.Repeat("h", 200))
	for _, kind := range []struct {
		name            string
		requests, batch int
	}{{"direct", 1, 1}, {"pipeline", 8, 1}, {"direct-pipelined", 1, 8}, {"pipelined", 8, 8}} {
		b.Run(kind.name, func(b *testing.B) {
			server := serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if conn := connOf(r); conn != nil {
					_ = conn.Admit(true)
				}
				_, _ = io.WriteString(w, "answer")
			}), kind.requests, 1<<20, -1)
			defer server.close()
			conn := server.dial()
			defer func() { _ = conn.Close() }()
			reader := bufio.NewReader(conn)
			batch := strings.Repeat(head, kind.batch)
			b.ReportAllocs()
			for sent := 0; sent < b.N; sent += kind.batch {
				if _, err := io.WriteString(conn, batch); err != nil {
					b.Fatal(err)
				}
				for range kind.batch {
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						b.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, response.Body)
				}
			}
			if kind.batch == 1 && server.pipeline != nil && server.pipeline.Stats().Connections > 0 {
				b.Error("the connection was split though no requests were pipelined")
			}
		})
	}
}
