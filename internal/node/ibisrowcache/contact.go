package ibisrowcache

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// ContactPrefix is the key prefix of contact rows, which list nodes from which a starting node copies its rows.
	ContactPrefix = "contact/"
	// contactsPerDomain is the number of nodes that a contact row names.
	contactsPerDomain = 6
	// contactPeriod is the time between two checks of the own failure domain's contact row.
	contactPeriod = 5 * time.Second
	tableTimeout  = 5 * time.Second
)

// contactRow is the value of a contact row: addresses of nodes in one failure domain.
type contactRow struct {
	Addresses []string `json:"addresses"`
}

// Bootstrap copies the rows from a node that the settings or a contact row name, else from the table. It fails if neither
// answers and may be repeated.
func (r *Rows) Bootstrap(ctx context.Context, caller ibismember.Caller, table ibisplatform.Table, seeds []string) error {
	var near, far []string
	rows, tableErr := table.Scan(ctx, ContactPrefix)
	for _, row := range rows {
		if row.Key == ContactPrefix+string(r.self.Place.Domain) {
			near = contacts(row.Value)
			continue
		}
		far = append(far, contacts(row.Value)...)
	}
	for _, addresses := range [][]string{slices.Clone(seeds), near, far} {
		if r.copyFromAny(ctx, caller, addresses) {
			return nil
		}
	}
	if tableErr != nil {
		return tableErr
	}
	return r.Scan(ctx, table, ibislease.MemberPrefix, ibislease.DeathsPrefix, ibisslot.PagePrefix)
}

// copyFromAny tries to copy the rows from the nodes in random order until one succeeds, and reports whether one did.
func (r *Rows) copyFromAny(ctx context.Context, caller ibismember.Caller, addresses []string) bool {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	for _, address := range addresses {
		if address != r.self.Address && r.Copy(ctx, caller, address) == nil {
			return true
		}
	}
	return false
}

func contacts(value []byte) []string {
	var contact contactRow
	_ = json.Unmarshal(value, &contact)
	return contact.Addresses
}

// MaintainContacts maintains the contact row of the own failure domain until the context ends and returns nil. Only the first
// live node of the domain, in order of name, does so. It copies rows from listed nodes that it does not have among its live
// nodes, and rewrites the row when the live nodes in it are fewer than half of those that it should list.
func (r *Rows) MaintainContacts(ctx context.Context, caller ibismember.Caller, table ibisplatform.Table, directory ibismember.Directory, log *zap.Logger) error {
	every := r.timer.Every(contactPeriod, func(time.Time) {
		live, _ := directory.Live(0)
		domain := nodesInDomain(live, r.self.Place.Domain)
		if len(domain) == 0 || domain[0].Name != r.self.Name {
			return
		}
		if err := r.maintainContact(ctx, caller, table, live, domain); err != nil {
			log.Debug("failed to maintain the contact row", zap.Error(err))
		}
	})
	defer every.Stop()
	<-ctx.Done()
	return nil
}

func nodesInDomain(live []ibismember.Node, domain ibisid.DomainName) []ibismember.Node {
	return slices.DeleteFunc(slices.Clone(live), func(n ibismember.Node) bool { return n.Place.Domain != domain })
}

func (r *Rows) maintainContact(ctx context.Context, caller ibismember.Caller, table ibisplatform.Table, live, domain []ibismember.Node) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	rows, err := table.Scan(ctx, ContactPrefix)
	if err != nil {
		return err
	}
	key := ContactPrefix + string(r.self.Place.Domain)
	var own ibisplatform.Row
	for _, row := range rows {
		if row.Key == key {
			own = row
		}
		r.copyFromAny(ctx, caller, unknownAddresses(contacts(row.Value), live))
	}
	if hasEnoughContacts(contacts(own.Value), domain) {
		return nil
	}
	return r.writeContact(ctx, table, key, own.Version, domain)
}

// unknownAddresses returns the addresses that belong to no live node in this node's view: such a node has ended, or the two
// nodes have lost contact.
func unknownAddresses(addresses []string, live []ibismember.Node) []string {
	return slices.DeleteFunc(addresses, func(address string) bool {
		return slices.ContainsFunc(live, func(n ibismember.Node) bool { return n.Address == address })
	})
}

func (r *Rows) writeContact(ctx context.Context, table ibisplatform.Table, key string, version ibisplatform.Version, domain []ibismember.Node) error {
	var contact contactRow
	step := max(1, len(domain)/contactsPerDomain)
	for i := 0; i < len(domain) && len(contact.Addresses) < contactsPerDomain; i += step {
		contact.Addresses = append(contact.Addresses, domain[i].Address)
	}
	value, err := json.Marshal(contact)
	if err != nil {
		return err
	}
	result, err := table.Commit(ctx, ibisplatform.Commit{
		ID: uuid.NewString(),
		Conditions: []ibisplatform.Condition{{
			Key:     key,
			Version: version,
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: value,
		}},
	})
	if err == nil && result.Status == ibisplatform.CommitApplied {
		r.Publish(ibisplatform.Row{
			Key:     key,
			Value:   value,
			Version: result.Version,
		})
	}
	return err
}

// hasEnoughContacts reports whether the addresses include at least half as many live nodes of the domain as a row should
// list.
func hasEnoughContacts(addresses []string, domain []ibismember.Node) bool {
	named := 0
	for _, n := range domain {
		if slices.Contains(addresses, n.Address) {
			named++
		}
	}
	return 2*named >= min(contactsPerDomain, len(domain)) && named > 0
}
