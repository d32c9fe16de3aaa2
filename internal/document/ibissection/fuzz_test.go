package ibissection_test

import (
	"context"
	"testing"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

// FuzzRows checks that loading rows with any content returns either a document or an error, and the same for each load.
func FuzzRows(f *testing.F) {
	head := `{"version":"000000000007-a","team":"platform","when":"2026-01-02T03:04:05Z","summary":"s"}`
	f.Add([]byte(head), []byte(`{"routes":"000000000007-a"}`), []byte(`{"version":"000000000007-a","content":{}}`))
	f.Add([]byte(head), []byte(`{"routes":"x","teams":""}`), []byte(`null`))
	f.Add([]byte(`{"version":"-"}`), []byte(`[]`), []byte(``))
	f.Add([]byte(`{`), []byte(`null`), []byte(`7`))
	f.Fuzz(func(t *testing.T, head, index, section []byte) {
		ctx := context.Background()
		store := ibisstore.New()
		_, err := store.Commit(ctx, ibisplatform.Commit{
			ID: "a",
			Writes: []ibisplatform.Write{
				{
					Key:   "doc/head",
					Value: head,
				},
				{
					Key:   "doc/index",
					Value: index,
				},
				{
					Key:   "doc/section/routes",
					Value: section,
				},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		read := func() (*ibissection.Snapshot, error) {
			return ibissection.New(store, store, ibistimer.New()).Load(ctx)
		}
		one, errOne := read()
		two, errTwo := read()
		if (errOne == nil) != (errTwo == nil) || (one == nil) != (errOne != nil) {
			t.Fatalf("first load: document %v, error %v; second load: error %v", one, errOne, errTwo)
		}
		if errOne == nil && one.Head().Version != two.Head().Version {
			t.Fatalf("head after the first load %v, after the second load %v", one.Head(), two.Head())
		}
	})
}
