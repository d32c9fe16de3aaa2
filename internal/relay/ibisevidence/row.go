package ibisevidence

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

// Partition is the partition of the rows in ibisrange.TablePages; no service may have this name.
const Partition = "~crashes"

// rowValue is the content of a row.
type rowValue struct {
	// EndedAt is when the writer learnt of the server's end, in Unix seconds.
	EndedAt int64 `json:"endedAt"`
}

// keyOf returns the key of the row of a request and a server.
func keyOf(f ibisquarantine.Fingerprint, server ibisquarantine.Server) ibisstore.Key {
	return ibisstore.Key{
		Table:     ibisrange.TablePages,
		Partition: Partition,
		Name:      f.String() + "/" + string(server),
	}
}

func encodeRow(endedAt time.Time) []byte {
	value, err := json.Marshal(rowValue{
		EndedAt: endedAt.Unix(),
	})
	if err != nil {
		panic(fmt.Sprintf("encode a row of evidence: %v", err))
	}
	return value
}

// DecodeRow returns the event that a row stands for, or its removal; it fails if the name of the row is malformed.
func DecodeRow(row ibisstore.Row) (ibisquarantine.Event, error) {
	digits, server, ok := strings.Cut(row.Key.Name, "/")
	if !ok || server == "" {
		return nil, fmt.Errorf("row %q: must name a fingerprint and a server", row.Key.Name)
	}
	f, err := ibisquarantine.ParseFingerprint(digits)
	if err != nil {
		return nil, fmt.Errorf("row %q: %w", row.Key.Name, err)
	}
	if row.Removed {
		return ibisquarantine.WithdrawnEvent{
			Fingerprint: f,
			Server:      ibisquarantine.Server(server),
		}, nil
	}
	return ibisquarantine.ServerEndedEvent{
		Fingerprint: f,
		Server:      ibisquarantine.Server(server),
		Shared:      true,
	}, nil
}

// expired reports whether a row is so old that no node counts it any more, whatever their clocks say. A row that can't be decoded is
// expired.
func expired(value []byte, now time.Time) bool {
	var v rowValue
	if err := json.Unmarshal(value, &v); err != nil {
		return true
	}
	return now.Sub(time.Unix(v.EndedAt, 0)) > 2*ibisquarantine.Retention
}
