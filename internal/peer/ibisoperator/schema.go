package ibisoperator

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"

	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
)

// pathSchema is the path prefix of the JSON Schemas for editors, one for each kind of section. The schemas contain no
// secrets, so no token is required.
const pathSchema = "/ibis/schema/"

func serveSchema(w http.ResponseWriter, r *http.Request) {
	kind := ibisdoc.SectionKind(r.PathValue("kind"))
	if !slices.Contains(ibisdoc.Kinds(), kind) {
		writeError(w, fmt.Errorf("%w: kind: %q must be one of %v", ErrNotFound, kind, ibisdoc.Kinds()))
		return
	}
	w.Header().Set("Content-Type", "application/schema+json")
	_ = json.NewEncoder(w).Encode(ibisdoc.SectionSchema(kind))
}
