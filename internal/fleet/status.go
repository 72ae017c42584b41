package fleet

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/platform"
)

// Status is the row of a failure domain under platform.PrefixStatus: the table
// version that each member has confirmed.
type Status struct {
	Domain  string               `cbor:"1,keyasint" json:"domain"`
	Members map[string]Confirmed `cbor:"2,keyasint" json:"members"` // by VM ID
}

// Confirmed is the table version in force at one start of a process.
type Confirmed struct {
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Version     uint64 `cbor:"2,keyasint" json:"version"` // 0: none
}

// Encode returns the stored form of s.
func (s *Status) Encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	return data, errors.Wrapf(err, "encoding the status of %q", s.Domain)
}

// DecodeStatus decodes the stored form of a status.
func DecodeStatus(data []byte) (*Status, error) {
	s := &Status{}
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decoding a status")
	}
	if s.Members == nil {
		s.Members = make(map[string]Confirmed)
	}
	return s, nil
}

// statusRow is what this process knows of a status row.
type statusRow struct {
	known   bool
	version uint64
	members map[string]Confirmed
}

// runStatus writes the confirmed versions of the members to the table service
// when they change.
func (n *Node) runStatus(ctx context.Context) {
	rows := make(map[string]*statusRow)
	for clock.Sleep(ctx, n.periods.Status) {
		for domain, members := range n.confirmed() {
			row := rows[domain]
			if row == nil {
				row = &statusRow{}
				rows[domain] = row
			}
			n.writeStatus(ctx, domain, row, members)
		}
	}
}

// confirmed returns what the present members of each failure domain that this
// process adds up have confirmed.
func (n *Node) confirmed() map[string]map[string]Confirmed {
	version := n.version()
	n.mu.Lock()
	defer n.mu.Unlock()
	all := make(map[string]map[string]Confirmed)
	if own := n.cfg.Self.Domain; n.activeFor(own) {
		all[own] = map[string]Confirmed{n.cfg.Self.ID: {n.cfg.Incarnation, version}}
	}
	for l := range n.links {
		if l.kind != toMember || !l.hasConfirmed || !n.activeFor(l.peer.Domain) {
			continue
		}
		if all[l.peer.Domain] == nil {
			all[l.peer.Domain] = make(map[string]Confirmed)
		}
		all[l.peer.Domain][l.peer.ID] = Confirmed{l.incarnation, l.confirmed}
	}
	return all
}

// writeStatus writes the row of domain if it lacks any of members. A write
// whose effect is not known, or that lost a race, is tried again on the row as
// it then stands.
func (n *Node) writeStatus(ctx context.Context, domain string, row *statusRow, members map[string]Confirmed) {
	ctx, cancel := context.WithTimeout(ctx, n.periods.Call)
	defer cancel()
	if !row.known {
		if err := n.readStatus(ctx, domain, row); err != nil {
			n.log.Debug("cannot read the status", "domain", domain, "error", err)
			return
		}
	}
	if row.holds(members) {
		return
	}
	result := "ok"
	if err := n.commitStatus(ctx, domain, row, members); err != nil {
		row.known = false
		result = writeResult(err)
		n.log.Debug("cannot write the status", "domain", domain, "error", err)
	}
	n.metrics.writes.WithLabelValues(result).Inc()
}

func (n *Node) commitStatus(ctx context.Context, domain string, row *statusRow, members map[string]Confirmed) error {
	merged := n.mergeStatus(row.members, members)
	data, err := (&Status{Domain: domain, Members: merged}).Encode()
	if err != nil {
		return err
	}
	version, err := n.cfg.Table.Commit(ctx, platform.Write{
		Key:   platform.PrefixStatus + domain,
		Value: data,
		If:    row.version,
	})
	if err != nil {
		return err
	}
	row.version, row.members = version, merged
	return nil
}

// readStatus reads the row of domain.
func (n *Node) readStatus(ctx context.Context, domain string, row *statusRow) error {
	item, err := n.cfg.Table.Get(ctx, platform.PrefixStatus+domain)
	if errors.Is(err, platform.ErrNotFound) {
		*row = statusRow{known: true}
		return nil
	}
	if err != nil {
		return err
	}
	*row = statusRow{known: true, version: item.Version}
	status, err := DecodeStatus(item.Value)
	if err != nil {
		n.log.Warn("replacing a malformed status", "domain", domain, "error", err)
		return nil
	}
	row.members = status.Members
	return nil
}

// mergeStatus returns old with members put in and without those that the VM
// list no longer names.
func (n *Node) mergeStatus(old, members map[string]Confirmed) map[string]Confirmed {
	vms := n.cfg.Store.Snapshot().VMs
	merged := make(map[string]Confirmed, len(old))
	for id, c := range old {
		if _, listed := vms[id]; listed {
			merged[id] = c
		}
	}
	for id, c := range members {
		merged[id] = c
	}
	return merged
}

// holds reports whether the row says the same of members.
func (r *statusRow) holds(members map[string]Confirmed) bool {
	for id, c := range members {
		if r.members[id] != c {
			return false
		}
	}
	return true
}

// writeResult is the label of a failed write.
func writeResult(err error) string {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrUncertain):
		return "uncertain"
	default:
		return "error"
	}
}
