package ibisserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
)

type runBody struct {
	Server         string `json:"server"`
	Service        string `json:"service"`
	Method         string `json:"method"`
	Path           string `json:"path"`
	Key            string `json:"key"`
	IdempotencyKey string `json:"idempotencyKey,omitempty"`
	Runs           int    `json:"runs"`
	BodyBytes      int64  `json:"bodyBytes"`
	BodySHA256     string `json:"bodySha256"`
}

const (
	maxDownloadBytes = 4 << 30
	downloadBlock    = 32 << 10
)

// answer writes what ran as JSON, or as many bytes as the query's size asks for.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, body runBody) {
	if size := r.URL.Query().Get("size"); size != "" {
		s.download(w, size)
		return
	}
	text, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	text = append(text, '\n')
	w.Header().Set("Content-Type", "application/json")
	s.writeWhole(w, &patternReader{
		pattern: text,
		left:    int64(len(text)),
	}, int64(len(text)))
}

func (s *Server) download(w http.ResponseWriter, text string) {
	size, err := strconv.ParseInt(text, 10, 64)
	if err != nil || size < 0 || size > maxDownloadBytes {
		http.Error(w, "size: must be from 0 to "+strconv.Itoa(maxDownloadBytes)+" bytes", http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	s.writeWhole(w, &patternReader{
		pattern: []byte(downloadPattern),
		left:    size,
	}, size)
}

// downloadPattern is what a download repeats.
const downloadPattern = "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-\n"

// writeWhole writes an answer of a known length, or cuts it short where that fault is on.
func (s *Server) writeWhole(w http.ResponseWriter, body io.Reader, size int64) {
	w.Header().Set("Content-Length", strconv.FormatInt(size, 10))
	if !s.take(&s.faults.Truncate) {
		_, _ = io.CopyBuffer(onlyWriter{w}, body, make([]byte, downloadBlock))
		return
	}
	_, _ = io.CopyN(w, body, size/2)
	_ = http.NewResponseController(w).Flush()
	panic(http.ErrAbortHandler)
}

type onlyWriter struct{ io.Writer }

// patternReader repeats a pattern until a number of bytes is read.
type patternReader struct {
	pattern []byte
	offset  int
	left    int64
}

func (p *patternReader) Read(b []byte) (int, error) {
	if p.left == 0 {
		return 0, io.EOF
	}
	b = b[:min(int64(len(b)), p.left)]
	n := 0
	for n < len(b) {
		c := copy(b[n:], p.pattern[p.offset:])
		n += c
		p.offset = (p.offset + c) % len(p.pattern)
	}
	p.left -= int64(n)
	return n, nil
}
