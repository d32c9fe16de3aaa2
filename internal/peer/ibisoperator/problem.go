package ibisoperator

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
)

// problem is the body of an error answer, by RFC 9457.
type problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
}

func badRequest(format string, args ...any) error {
	return fmt.Errorf("%w: %w", ErrBadRequest, fmt.Errorf(format, args...))
}

// statusOf returns the HTTP status and the problem code of an error.
func statusOf(err error) (int, string) {
	switch {
	case errors.Is(err, ErrUnauthorized):
		return http.StatusUnauthorized, "unauthorized"
	case errors.Is(err, ErrNotFound):
		return http.StatusNotFound, "notFound"
	case errors.Is(err, ErrBadRequest):
		return http.StatusBadRequest, "badRequest"
	case errors.Is(err, ErrUnavailable):
		return http.StatusServiceUnavailable, "unavailable"
	}
	return http.StatusInternalServerError, "failed"
}

func writeError(w http.ResponseWriter, err error) {
	status, code := statusOf(err)
	w.Header().Set("Content-Type", "application/problem+json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(problem{
		Type:   "urn:ibisridge:problem:" + code,
		Title:  http.StatusText(status),
		Status: status,
		Detail: err.Error(),
	})
}

func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
