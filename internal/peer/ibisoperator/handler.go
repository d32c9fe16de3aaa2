package ibisoperator

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const (
	pathDocument = "/ibis/document"
	pathChanges  = "/ibis/document/changes"
	pathUndo     = "/ibis/document/undo"
	pathKey      = "/ibis/key"
	pathStatus   = "/ibis/status"
	pathDrain    = "/ibis/drain"
	pathEnded    = "/ibis/ended"

	maxChangeBytes = 32 << 20
	maxLogEntries  = 10_000
)

// Errors of Operations; the handler answers every other error with status 500.
var (
	// ErrUnauthorized reports a missing or unknown team token.
	ErrUnauthorized = errors.New("unauthorized")
	// ErrNotFound reports a revision, key or schema that does not exist.
	ErrNotFound = errors.New("not found")
	// ErrBadRequest reports an invalid request.
	ErrBadRequest = errors.New("bad request")
	// ErrUnavailable reports that the node or the platform can't perform the operation at present.
	ErrUnavailable = errors.New("unavailable")
)

// Operations are the operations of a node for operators. Each receives the team token of the request and fails with
// ErrUnauthorized if the token belongs to no team.
type Operations interface {
	// Document returns a revision of the document, the current one for zero.
	Document(ctx context.Context, token string, revision ibisid.Revision) (Document, error)
	// Log returns at most limit of the latest changes, newest first.
	Log(ctx context.Context, token string, limit int) ([]Entry, error)
	// Change changes sections of the document.
	Change(ctx context.Context, token string, change Change) (ChangeResult, error)
	// Undo reverts the change of one revision by a new revision.
	Undo(ctx context.Context, token string, undo Undo) (ChangeResult, error)
	// Key returns the names, slots, owners and placement rules of a key.
	Key(ctx context.Context, token string, query KeyQuery) (Key, error)
	// Status returns the status of the node and of the nodes known to it.
	Status(ctx context.Context, token string) (Status, error)
	// Drain hands over the node's work and returns when no request is running.
	Drain(ctx context.Context, token string) error
	// DeclareDead declares a member dead on the operators' assurance that its process has ended permanently.
	DeclareDead(ctx context.Context, token string, member ibisid.Member) error
}

type handler struct {
	operations Operations
}

// NewHandler returns the HTTP handler that serves the operations to operators.
func NewHandler(operations Operations) http.Handler {
	h := &handler{
		operations: operations,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+pathDocument, h.document)
	mux.HandleFunc("GET "+pathChanges, h.log)
	mux.HandleFunc("POST "+pathChanges, h.change)
	mux.HandleFunc("POST "+pathUndo, h.undo)
	mux.HandleFunc("GET "+pathKey, h.key)
	mux.HandleFunc("GET "+pathStatus, h.status)
	mux.HandleFunc("POST "+pathDrain, h.drain)
	mux.HandleFunc("POST "+pathEnded, h.ended)
	mux.HandleFunc("GET "+pathSchema+"{kind}", serveSchema)
	return mux
}

func (h *handler) document(w http.ResponseWriter, r *http.Request) {
	revision, err := uintParameter(r, "revision", 0)
	if err != nil {
		writeError(w, err)
		return
	}
	document, err := h.operations.Document(r.Context(), bearerToken(r), ibisid.Revision(revision))
	writeResult(w, document, err)
}

func (h *handler) log(w http.ResponseWriter, r *http.Request) {
	limit, err := uintParameter(r, "limit", maxLogEntries)
	if err != nil {
		writeError(w, err)
		return
	}
	entries, err := h.operations.Log(r.Context(), bearerToken(r), int(min(limit, maxLogEntries)))
	writeResult(w, entries, err)
}

func (h *handler) change(w http.ResponseWriter, r *http.Request) {
	var change Change
	if err := decodeStrict(w, r, &change); err != nil {
		writeError(w, err)
		return
	}
	result, err := h.operations.Change(r.Context(), bearerToken(r), change)
	writeResult(w, result, err)
}

func (h *handler) undo(w http.ResponseWriter, r *http.Request) {
	var undo Undo
	if err := decodeStrict(w, r, &undo); err != nil {
		writeError(w, err)
		return
	}
	result, err := h.operations.Undo(r.Context(), bearerToken(r), undo)
	writeResult(w, result, err)
}

func (h *handler) key(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	key, err := h.operations.Key(r.Context(), bearerToken(r), KeyQuery{
		Scheme: query.Get("scheme"),
		Name:   query.Get("name"),
		Tenant: ibisid.TenantName(query.Get("tenant")),
	})
	writeResult(w, key, err)
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	status, err := h.operations.Status(r.Context(), bearerToken(r))
	writeResult(w, status, err)
}

func (h *handler) drain(w http.ResponseWriter, r *http.Request) {
	err := h.operations.Drain(r.Context(), bearerToken(r))
	writeResult(w, struct{}{}, err)
}

func (h *handler) ended(w http.ResponseWriter, r *http.Request) {
	var member ibisid.Member
	if err := decodeStrict(w, r, &member); err != nil {
		writeError(w, err)
		return
	}
	err := h.operations.DeclareDead(r.Context(), bearerToken(r), member)
	writeResult(w, struct{}{}, err)
}

func bearerToken(r *http.Request) string {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return token
}

func uintParameter(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, badRequest("%s: %q must be a decimal number", name, text)
	}
	return n, nil
}

// decodeStrict decodes a JSON body of at most maxChangeBytes; it fails with ErrBadRequest, also on unknown fields.
func decodeStrict(w http.ResponseWriter, r *http.Request, v any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxChangeBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return badRequest("body: %w", err)
	}
	return nil
}
