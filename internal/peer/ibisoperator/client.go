package ibisoperator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

const maxAnswerBytes = 256 << 20

// Client calls the operators' interface of a node; its methods return the errors of Operations, and ErrUnavailable if the
// node can't be reached.
type Client struct {
	base  string
	token string
	http  *http.Client
}

// NewClient returns a Client of the operators' listener at the base URL that authenticates with a team token.
func NewClient(baseURL, token string, httpClient *http.Client) *Client {
	return &Client{
		base:  strings.TrimRight(baseURL, "/"),
		token: token,
		http:  httpClient,
	}
}

// Document returns a revision of the document, the current one for zero.
func (c *Client) Document(ctx context.Context, revision ibisid.Revision) (Document, error) {
	query := url.Values{}
	if revision > 0 {
		query.Set("revision", strconv.FormatUint(uint64(revision), 10))
	}
	var document Document
	return document, c.call(ctx, http.MethodGet, pathDocument, query, nil, &document)
}

// Log returns at most limit of the latest changes, newest first.
func (c *Client) Log(ctx context.Context, limit int) ([]Entry, error) {
	var entries []Entry
	query := url.Values{
		"limit": {strconv.Itoa(limit)},
	}
	return entries, c.call(ctx, http.MethodGet, pathChanges, query, nil, &entries)
}

// Change changes sections of the document.
func (c *Client) Change(ctx context.Context, change Change) (ChangeResult, error) {
	var result ChangeResult
	return result, c.call(ctx, http.MethodPost, pathChanges, nil, change, &result)
}

// Undo reverts the change of one revision by a new revision.
func (c *Client) Undo(ctx context.Context, undo Undo) (ChangeResult, error) {
	var result ChangeResult
	return result, c.call(ctx, http.MethodPost, pathUndo, nil, undo, &result)
}

// Key returns the names, slots, owners and placement rules of a key.
func (c *Client) Key(ctx context.Context, query KeyQuery) (Key, error) {
	var key Key
	values := url.Values{
		"scheme": {query.Scheme},
		"name":   {query.Name},
		"tenant": {string(query.Tenant)},
	}
	return key, c.call(ctx, http.MethodGet, pathKey, values, nil, &key)
}

// Status returns the status of the node and of the nodes known to it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	return status, c.call(ctx, http.MethodGet, pathStatus, nil, nil, &status)
}

// Drain hands over the node's work and returns when no request is running.
func (c *Client) Drain(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, pathDrain, nil, nil, nil)
}

// DeclareDead makes the node declare a member dead; the process of the member must have ended permanently.
func (c *Client) DeclareDead(ctx context.Context, member ibisid.Member) error {
	return c.call(ctx, http.MethodPost, pathEnded, nil, member, nil)
}

func (c *Client) call(ctx context.Context, method, path string, query url.Values, in, out any) error {
	var body io.Reader
	if in != nil {
		text, err := json.Marshal(in)
		if err != nil {
			return badRequest("%w", err)
		}
		body = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, c.base+path+"?"+query.Encode(), body)
	if err != nil {
		return badRequest("%w", err)
	}
	if c.token != "" {
		request.Header.Set("Authorization", "Bearer "+c.token)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	defer func() { _ = response.Body.Close() }()
	return readResponse(response, out)
}

func readResponse(response *http.Response, out any) error {
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	}
	if response.StatusCode != http.StatusOK {
		return responseError(response.StatusCode, text)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(text, out); err != nil {
		return fmt.Errorf("malformed answer: %w", err)
	}
	return nil
}

// responseError converts a problem body into the error of Operations with the same status, or else into a plain error.
func responseError(status int, text []byte) error {
	var p problem
	detail := strings.TrimSpace(string(text))
	if json.Unmarshal(text, &p) == nil && p.Detail != "" {
		detail = p.Detail
	}
	for _, known := range []error{ErrUnauthorized, ErrNotFound, ErrBadRequest, ErrUnavailable} {
		if code, _ := statusOf(known); code == status {
			return fmt.Errorf("%w: %s", known, strings.TrimPrefix(detail, known.Error()+": "))
		}
	}
	return fmt.Errorf("%s: %s", http.StatusText(status), detail)
}
