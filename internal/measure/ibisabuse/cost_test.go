package ibisabuse_test

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
)

// BenchmarkRequest reports the processor time that the relay takes for an ordinary request on a kept connection. Programs are
// compared by IBISABUSE_PROGRAM.
func BenchmarkRequest(b *testing.B) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		b.Run(method, func(b *testing.B) {
			r := newRelay(b)
			r.start()
			r.awaitAnswer()
			began := r.ticks()
			for i := range b.N {
				request, err := http.NewRequest(method, "http://"+local+":7202/look/ordinary", strings.NewReader(strings.Repeat("x", 500)))
				if err != nil {
					b.Fatal(err)
				}
				request.Host = "bed.example"
				request.Header.Set("Attempt-Id", strconv.Itoa(i))
				response, err := http.DefaultClient.Do(request)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, response.Body)
				_ = response.Body.Close()
			}
			const usPerTick = 10_000
			b.ReportMetric(float64(usPerTick*(r.ticks()-began))/float64(b.N), "cpu-us/request")
		})
	}
}

// ticks returns the processor time that the process has taken, in hundredths of a second.
func (r *relay) ticks() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", r.command.Process.Pid))
	if err != nil {
		r.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+2:]))
	const user, system = 11, 12
	total := 0
	for _, i := range []int{user, system} {
		n, err := strconv.Atoi(fields[i])
		if err != nil {
			r.Fatal(err)
		}
		total += n
	}
	return total
}
