package fleet

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/platform"
)

// Status is the item of a failure domain under platform.PrefixStatus. It
// records the table version that each member has confirmed.
type Status struct {
	Domain  string                      `cbor:"1,keyasint" json:"domain"`
	Members map[string]ConfirmedVersion `cbor:"2,keyasint" json:"members"` // by VM ID
}

// ConfirmedVersion is the table version that a member reported to be in force,
// for one incarnation of its process.
type ConfirmedVersion struct {
	Incarnation uint64 `cbor:"1,keyasint" json:"incarnation"`
	Version     uint64 `cbor:"2,keyasint" json:"version"` // 0: none
}

// Encode returns the stored form of s (CBOR).
func (s *Status) Encode() ([]byte, error) {
	data, err := cbor.Marshal(s)
	return data, errors.Wrapf(err, "encoding the status of %q", s.Domain)
}

// DecodeStatus decodes the stored form of a status. Members of the result is
// never nil.
func DecodeStatus(data []byte) (*Status, error) {
	s := &Status{}
	if err := cbor.Unmarshal(data, s); err != nil {
		return nil, errors.Wrap(err, "decoding a status")
	}
	if s.Members == nil {
		s.Members = make(map[string]ConfirmedVersion)
	}
	return s, nil
}

// statusRow caches the status item of a failure domain as this process last
// read or wrote it.
type statusRow struct {
	loaded  bool   // false before the first read and after a failed write
	version uint64 // of the item; 0: it does not exist
	members map[string]ConfirmedVersion
}

// runStatus writes the confirmed versions of the members to the table service
// when they change. It checks every StatusInterval.
func (n *Node) runStatus(ctx context.Context) {
	rows := make(map[string]*statusRow)
	for clock.Sleep(ctx, n.timings.StatusInterval) {
		for domain, members := range n.confirmedVersions() {
			row := rows[domain]
			if row == nil {
				row = &statusRow{}
				rows[domain] = row
			}
			n.writeStatus(ctx, domain, row, members)
		}
	}
}

// confirmedVersions returns the confirmed versions of the connected members of
// each failure domain that this process aggregates.
func (n *Node) confirmedVersions() map[string]map[string]ConfirmedVersion {
	version := n.tableVersion()
	n.mu.Lock()
	defer n.mu.Unlock()
	byDomain := make(map[string]map[string]ConfirmedVersion)
	if localDomain := n.cfg.Self.Domain; n.aggregatesDomain(localDomain) {
		byDomain[localDomain] = map[string]ConfirmedVersion{n.cfg.Self.ID: {n.cfg.Incarnation, version}}
	}
	for l := range n.links {
		if l.kind != linkToMember || !l.hasConfirmed || !n.aggregatesDomain(l.peer.Domain) {
			continue
		}
		if byDomain[l.peer.Domain] == nil {
			byDomain[l.peer.Domain] = make(map[string]ConfirmedVersion)
		}
		byDomain[l.peer.Domain][l.peer.ID] = ConfirmedVersion{l.incarnation, l.confirmedVersion}
	}
	return byDomain
}

// writeStatus writes the status item of domain if the cached one lacks any of
// members. After a write with an unknown outcome, or one that conflicted with a
// concurrent write, the item is read again before the next attempt.
func (n *Node) writeStatus(ctx context.Context, domain string, row *statusRow, members map[string]ConfirmedVersion) {
	ctx, cancel := context.WithTimeout(ctx, n.timings.CallTimeout)
	defer cancel()
	if !row.loaded {
		if err := n.readStatus(ctx, domain, row); err != nil {
			n.log.Debug("failed to read a status item", "domain", domain, "error", err)
			return
		}
	}
	if row.contains(members) {
		return
	}
	result := "ok"
	if err := n.commitStatus(ctx, domain, row, members); err != nil {
		row.loaded = false
		result = commitResult(err)
		n.log.Debug("failed to write a status item", "domain", domain, "error", err)
	}
	n.metrics.statusWrites.WithLabelValues(result).Inc()
}

// commitStatus writes members merged into row, on condition that the item still
// has the version of row, and updates row.
func (n *Node) commitStatus(ctx context.Context, domain string, row *statusRow, members map[string]ConfirmedVersion) error {
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

// readStatus reads the status item of domain into row. A malformed item is
// treated as empty, so that the next write replaces it.
func (n *Node) readStatus(ctx context.Context, domain string, row *statusRow) error {
	item, err := n.cfg.Table.Get(ctx, platform.PrefixStatus+domain)
	if errors.Is(err, platform.ErrNotFound) {
		*row = statusRow{loaded: true}
		return nil
	}
	if err != nil {
		return err
	}
	*row = statusRow{loaded: true, version: item.Version}
	status, err := DecodeStatus(item.Value)
	if err != nil {
		n.log.Warn("replacing a malformed status item", "domain", domain, "error", err)
		return nil
	}
	row.members = status.Members
	return nil
}

// mergeStatus returns old updated with members, without the VMs of old that the
// VM list no longer contains.
func (n *Node) mergeStatus(old, members map[string]ConfirmedVersion) map[string]ConfirmedVersion {
	vms := n.cfg.Store.Snapshot().VMs
	merged := make(map[string]ConfirmedVersion, len(old))
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

// contains reports whether the row has the same confirmed version for each of
// members.
func (r *statusRow) contains(members map[string]ConfirmedVersion) bool {
	for id, c := range members {
		if r.members[id] != c {
			return false
		}
	}
	return true
}

// commitResult returns the metric label of a failed write.
func commitResult(err error) string {
	switch {
	case errors.Is(err, platform.ErrConflict):
		return "conflict"
	case errors.Is(err, platform.ErrUncertain):
		return "uncertain"
	default:
		return "error"
	}
}
