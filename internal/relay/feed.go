package relay

import (
	"context"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// longPollTimeout is the maximum time that a poll request waits for changes. While the
	// store responds, the table is confirmed more often than that, every 1.2 s.
	longPollTimeout = 1500 * time.Millisecond
	// maxTableAge is the maximum age of a table that a relay passes on: two long polls of
	// the store of 1.2 s each, plus network time. Members stop using a relay whose table
	// is older. Gates accept API keys by a table of up to 4.5 s.
	maxTableAge = 2800 * time.Millisecond
	// maxTargetsAge is the maximum age of a target list that a relay passes on: two long
	// polls of the store of 0.9 s each. A draining target must get no new work after
	// 2.5 s, and a member must have time to read the store itself before that.
	maxTargetsAge = 2 * time.Second
	// maxRemovals bounds the removed targets that a feed retains. Members that missed more
	// removals get the full list.
	maxRemovals = 1024
	// maxRequestBytes bounds the body of a poll request.
	maxRequestBytes = 1 << 10
)

var errStale = errors.New("own knowledge of the store is old")

// Feed caches the configuration table and the targets of this gate and serves them to
// its peers.
type Feed struct {
	now func() time.Duration // includes suspended time
	// Steady is the clock of target.Instance.ReportedColdUntil; nil: now.
	Steady func() time.Duration
	epoch  int64 // distinguishes the incarnations of the feed

	mu      sync.Mutex
	changed chan struct{} // closed at the next change
	// changedAt is the time of the last change: members that have all changes know no more
	// than they did then.
	changedAt time.Duration
	// sequence numbers the changes of targets.
	sequence uint64
	targets  map[string]targetEntry
	removals []removal // oldest first
	// lastDroppedRemoval is the sequence number of the newest removal that is no longer
	// in removals.
	lastDroppedRemoval uint64
	revision           Revision
	targetsAsOf        time.Duration // a time at which the target list was the newest
	recovered          Revision      // as in pollResponse.RecoveredRevision
	// tableUnavailable and targetsUnavailable are set while this gate does not follow them
	// in the store.
	tableUnavailable, targetsUnavailable bool

	edition       route.Edition // of table
	table         []byte
	confirmations uint64
	tableAsOf     time.Duration // a time at which the table was the newest

	evacuations       target.EvacuationList // Held counts from evacuationsSetAt
	evacuationsSetAt  time.Duration
	evacuationChanges uint64
}

type targetEntry struct {
	instance target.Instance
	sequence uint64
}

type removal struct {
	id       string
	sequence uint64
}

// NewFeed returns an empty feed. epoch distinguishes it from the feeds of previous
// incarnations of this gate; now is a clock that includes suspended time.
func NewFeed(epoch int64, now func() time.Duration) *Feed {
	return &Feed{now: now, epoch: epoch, changed: make(chan struct{}), targets: make(map[string]targetEntry)}
}

// notify wakes the waiting poll requests. The caller holds mu.
func (f *Feed) notify() {
	close(f.changed)
	f.changed, f.changedAt = make(chan struct{}), f.now()
}

// SetTable stores a table that was read from the store, in the platform's encoding. Empty
// data confirms the cached one. asOf is a time at which the table was the newest.
func (f *Feed) SetTable(edition route.Edition, data []byte, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceTable(edition, data)
	f.tableAsOf = max(f.tableAsOf, asOf)
	f.confirmations++
	f.tableUnavailable = false
	f.notify()
}

// replaceTable stores a table that supersedes the cached one. The caller holds mu.
func (f *Feed) replaceTable(edition route.Edition, data []byte) {
	switch {
	case len(data) > 0 && edition.Supersedes(f.edition):
		f.edition, f.table = edition, data
	case edition.Same(f.edition):
		f.edition.Era = max(f.edition.Era, edition.Era)
	}
}

// CacheTable stores the table that this gate uses, which came from the store or from a
// relay, so that peers can bootstrap from it while the store is unreachable. Empty data
// confirms the cached table. It does not make this gate a relay.
func (f *Feed) CacheTable(edition route.Edition, data []byte, asOf time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceTable(edition, data)
	if edition.Same(f.edition) {
		f.tableAsOf = max(f.tableAsOf, asOf)
	}
}

// CacheTargets is CacheTable for the target list.
func (f *Feed) CacheTargets(listed []target.Instance, revision Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.replaceTargets(listed, revision)
}

// SetEvacuations records the evacuated failure domains as this gate knows them, and wakes
// members' polls if they changed. It does so whether or not this gate follows the store.
func (f *Feed) SetEvacuations(list target.EvacuationList) {
	f.mu.Lock()
	defer f.mu.Unlock()
	changed := !slices.Equal(list.Domains, f.evacuations.Domains) || !maps.EqualFunc(list.Held, f.evacuations.Held, func(time.Duration, time.Duration) bool { return true })
	f.evacuations, f.evacuationsSetAt = list, f.now()
	if changed {
		f.evacuationChanges++
		f.notify()
	}
}

func (f *Feed) addEvacuations(resp *pollResponse) {
	list := &f.evacuations
	resp.EvacuationChanges, resp.Evacuated, resp.EvacuationEra, resp.EvacuationRevision = f.evacuationChanges, list.Domains, list.Era, list.Revision
	for domain, remaining := range list.Held {
		if remaining -= f.now() - f.evacuationsSetAt; remaining > 0 {
			if resp.HeldEvacuations == nil {
				resp.HeldEvacuations = make(map[string]time.Duration)
			}
			resp.HeldEvacuations[domain] = remaining
		}
	}
}

// MarkTableUnavailable records that this gate no longer follows the table in the store.
// The feed refuses to serve members until the next call of SetTable.
func (f *Feed) MarkTableUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.tableUnavailable = true
	f.notify()
}

// MarkTargetsUnavailable is MarkTableUnavailable for the target list.
func (f *Feed) MarkTargetsUnavailable() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targetsUnavailable = true
	f.notify()
}

// SetTargets stores the target list of a revision of the store, which was the newest at
// asOf. reconnected reports that the connection to the store was lost before this read.
func (f *Feed) SetTargets(listed []target.Instance, revision Revision, asOf time.Duration, reconnected bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if reconnected && f.targetsAsOf > 0 && asOf-f.targetsAsOf >= target.MinExpiryOutage {
		f.recovered = revision
	}
	f.targetsUnavailable = false
	f.targetsAsOf = max(f.targetsAsOf, asOf)
	if f.replaceTargets(listed, revision) || reconnected {
		f.notify()
	}
}

// replaceTargets replaces the target list unless the new one is older, and reports
// whether the list changed. The caller holds mu.
func (f *Feed) replaceTargets(listed []target.Instance, revision Revision) bool {
	if revision.Before(f.revision) {
		return false
	}
	f.revision = revision
	before := f.sequence
	f.sequence++ // assigned to the changes below; undone if there are none
	changed := f.applyList(listed)
	if !changed {
		f.sequence = before
	}
	return changed
}

// applyList records the differences between the cached and the new list under the current
// sequence number and reports whether there are any. The caller holds mu.
func (f *Feed) applyList(listed []target.Instance) bool {
	changed := false
	seen := make(map[string]bool, len(listed))
	for _, instance := range listed {
		seen[instance.ID] = true
		if previous, found := f.targets[instance.ID]; !found || previous.instance != instance {
			f.targets[instance.ID] = targetEntry{instance, f.sequence}
			changed = true
		}
	}
	for id := range f.targets {
		if !seen[id] {
			delete(f.targets, id)
			f.removals = append(f.removals, removal{id, f.sequence})
			changed = true
		}
	}
	if excess := len(f.removals) - maxRemovals; excess > 0 {
		f.lastDroppedRemoval = f.removals[excess-1].sequence
		f.removals = slices.Clone(f.removals[excess:])
	}
	return changed
}

// ServeHTTP answers the poll request of a member. It implements http.Handler.
func (f *Feed) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := f.now()
	var req pollRequest
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBytes))
	if err == nil {
		err = cbor.Unmarshal(body, &req)
	}
	if err != nil {
		http.Error(w, "question cannot be read", http.StatusBadRequest)
		return
	}
	resp, err := f.awaitChanges(r.Context(), req, arrived)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	data, err := cbor.Marshal(resp)
	if err != nil {
		http.Error(w, "answer cannot be encoded", http.StatusInternalServerError)
		return
	}
	_, _ = w.Write(data) // an error means that the member disconnected
}

// awaitChanges returns the response to a poll request as soon as there are changes. At the
// end of the wait it returns a response without changes, or fails with errStale if the
// cached state is too old. The response tells the age of the table, so that it is no
// confirmation to the member.
func (f *Feed) awaitChanges(ctx context.Context, req pollRequest, arrived time.Duration) (*pollResponse, error) {
	timeout := time.NewTimer(f.waitTimeout())
	defer timeout.Stop()
	for {
		resp, changed, err := f.respond(req, arrived)
		if resp != nil || err != nil {
			return resp, err
		}
		select {
		case <-changed:
		case <-timeout.C:
			return f.unchanged(req, arrived)
		case <-ctx.Done():
			return nil, errors.Wrap(ctx.Err(), "member has gone")
		}
	}
}

// respond returns the response to a poll request, or, if there are no changes or the
// cached state is too old, a channel that is closed at the next change.
func (f *Feed) respond(req pollRequest, arrived time.Duration) (*pollResponse, <-chan struct{}, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.edition.Version == 0 || f.revision == (Revision{}) || !req.AnyAge && (f.tableUnavailable || f.targetsUnavailable) {
		return nil, nil, errStale
	}
	if req.AnyAge {
		return f.changesSince(pollRequest{}, arrived), nil, nil
	}
	sameEpoch := req.Epoch == f.epoch
	if sameEpoch && req.Sequence == f.sequence && req.Confirmations == f.confirmations && req.EvacuationChanges == f.evacuationChanges || f.usableFor() < 0 {
		return nil, f.changed, nil
	}
	return f.changesSince(req, arrived), nil, nil
}

// usableFor returns the time for which the cached state may still be passed on; negative if
// it is too old. The caller holds mu.
func (f *Feed) usableFor() time.Duration {
	now := f.now()
	return min(maxTableAge-(now-f.tableAsOf), maxTargetsAge-(now-f.targetsAsOf))
}

// waitTimeout returns how long a poll request that arrives now waits for changes. If there
// was none for longPollTimeout, members were answered without changes, and the wait ends as
// soon as the state is too old: members then still have time to read the store themselves.
func (f *Feed) waitTimeout() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.now()-f.changedAt < longPollTimeout {
		return longPollTimeout
	}
	return min(longPollTimeout, max(0, f.usableFor())+time.Millisecond)
}

// unchanged returns a response without changes, or fails with errStale.
func (f *Feed) unchanged(req pollRequest, arrived time.Duration) (*pollResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.tableUnavailable || f.targetsUnavailable || f.usableFor() < 0 {
		return nil, errStale
	}
	return f.changesSince(req, arrived), nil
}

// changesSince returns the changes since the state of the member that req describes. The
// caller holds mu.
func (f *Feed) changesSince(req pollRequest, arrived time.Duration) *pollResponse {
	resp := &pollResponse{
		Epoch: f.epoch, Sequence: f.sequence, Revision: f.revision.Number, TargetsEra: f.revision.Era,
		Full:         req.Epoch != f.epoch || req.Sequence < f.lastDroppedRemoval || req.Sequence > f.sequence,
		TableVersion: f.edition.Version, TableEra: f.edition.Era, Confirmations: f.confirmations, TableAge: arrived - f.tableAsOf,
	}
	resp.RecoveredRevision, resp.RecoveredEra = f.recovered.Number, f.recovered.Era
	f.addEvacuations(resp)
	if req.TableVersion != f.edition.Version || req.TableDigest != f.edition.Digest {
		resp.Table = f.table
	}
	steadyNow := steady(f.Steady, f.now)()
	for _, e := range f.targets {
		if resp.Full || e.sequence > req.Sequence {
			resp.Targets = append(resp.Targets, encodeInstance(e.instance, steadyNow))
		}
	}
	slices.SortFunc(resp.Targets, func(x, y wireInstance) int { return strings.Compare(x.ID, y.ID) })
	if !resp.Full {
		for _, r := range f.removals {
			if r.sequence > req.Sequence {
				resp.Removed = append(resp.Removed, r.id)
			}
		}
	}
	return resp
}
