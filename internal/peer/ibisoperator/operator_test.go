package ibisoperator_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/peer/ibisoperator"
)

func TestOperator(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisoperator")
}

// echoOperations implements Operations: each method returns its arguments as the result, or err.
type echoOperations struct {
	err   error
	token string
}

func (r *echoOperations) Document(_ context.Context, token string, revision ibisid.Revision) (ibisoperator.Document, error) {
	r.token = token
	return ibisoperator.Document{Revision: revision}, r.err
}

func (r *echoOperations) Log(_ context.Context, _ string, limit int) ([]ibisoperator.Entry, error) {
	return make([]ibisoperator.Entry, limit), r.err
}

func (r *echoOperations) Change(_ context.Context, _ string, change ibisoperator.Change) (ibisoperator.ChangeResult, error) {
	return ibisoperator.ChangeResult{
		Status: ibisoperator.ChangeConflict,
		Conflicts: []ibisoperator.Conflict{{
			Section: "teams",
			Mine:    change.Sections["teams"],
		}},
	}, r.err
}

func (r *echoOperations) Undo(_ context.Context, _ string, undo ibisoperator.Undo) (ibisoperator.ChangeResult, error) {
	return ibisoperator.ChangeResult{Revision: undo.Revision}, r.err
}

func (r *echoOperations) Key(_ context.Context, _ string, query ibisoperator.KeyQuery) (ibisoperator.Key, error) {
	return ibisoperator.Key{Key: fmt.Sprint(query)}, r.err
}

func (r *echoOperations) Status(context.Context, string) (ibisoperator.Status, error) {
	return ibisoperator.Status{Ready: true}, r.err
}

func (r *echoOperations) Drain(context.Context, string) error { return r.err }

func (r *echoOperations) DeclareDead(_ context.Context, _ string, member ibisid.Member) error {
	if member.Incarnation == 0 {
		return ibisoperator.ErrBadRequest
	}
	return r.err
}

var _ = Describe("Client and handler", func() {
	ctx := context.Background()

	It("serves the schema of each kind of section without a token", func() {
		server := httptest.NewServer(ibisoperator.NewHandler(&echoOperations{}))
		DeferCleanup(server.Close)
		for _, kind := range ibisdoc.Kinds() {
			response, err := http.Get(server.URL + "/ibis/schema/" + string(kind))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.StatusCode).To(Equal(http.StatusOK))
			Expect(response.Body.Close()).To(Succeed())
		}
		response, err := http.Get(server.URL + "/ibis/schema/nothing")
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		Expect(response.Body.Close()).To(Succeed())
	})

	It("transmit every request, answer and error", func() {
		operations := &echoOperations{}
		server := httptest.NewServer(ibisoperator.NewHandler(operations))
		DeferCleanup(server.Close)
		client := ibisoperator.NewClient(server.URL, "secret", server.Client())

		Expect(client.Document(ctx, 7)).To(HaveField("Revision", ibisid.Revision(7)))
		Expect(operations.token).To(Equal("secret"))
		Expect(client.Log(ctx, 3)).To(HaveLen(3))
		result, err := client.Change(ctx, ibisoperator.Change{
			Sections: map[ibisdoc.SectionName]json.RawMessage{"teams": json.RawMessage(`{"a":1}`)},
		})
		Expect(err).NotTo(HaveOccurred())
		Expect(string(result.Conflicts[0].Mine)).To(Equal(`{"a":1}`))
		Expect(client.Undo(ctx, ibisoperator.Undo{Revision: 9})).To(HaveField("Revision", ibisid.Revision(9)))
		Expect(client.Key(ctx, ibisoperator.KeyQuery{Scheme: "mat/urn", Name: "urn:kk&mat:1"})).
			To(HaveField("Key", "{mat/urn urn:kk&mat:1 }"))
		Expect(client.Status(ctx)).To(HaveField("Ready", true))
		Expect(client.Drain(ctx)).To(Succeed())
		Expect(client.DeclareDead(ctx, ibisid.Member{Name: "node-1", Incarnation: 7})).To(Succeed())
		Expect(client.DeclareDead(ctx, ibisid.Member{Name: "node-1"})).To(MatchError(ibisoperator.ErrBadRequest))

		for _, known := range []error{
			ibisoperator.ErrUnauthorized, ibisoperator.ErrNotFound, ibisoperator.ErrBadRequest, ibisoperator.ErrUnavailable,
		} {
			operations.err = fmt.Errorf("%w: because", known)
			_, err := client.Status(ctx)
			Expect(err).To(MatchError(known))
			Expect(err.Error()).To(Equal(known.Error() + ": because"))
		}
		operations.err = errors.New("broken")
		Expect(client.Drain(ctx)).To(MatchError(ContainSubstring("broken")))
		server.Close()
		Expect(client.Drain(ctx)).To(MatchError(ibisoperator.ErrUnavailable))
	})
})
