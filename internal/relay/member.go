package relay

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/clock"
	"github.com/mastichollow/mastichollow/internal/desync"
	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// responseMargin is the time beyond longPollTimeout that a response may take within a
	// failure domain.
	responseMargin = 200 * time.Millisecond
	// failureBackoff is how long a relay is not polled after a failure. It is about the
	// time after which an unresponsive peer counts as down.
	failureBackoff = 4 * time.Second
	// refusalBackoff is how long a relay is not polled after it responded that it does not
	// follow the store, or not yet.
	refusalBackoff = 500 * time.Millisecond
	// candidateInterval is the time between two searches for a relay while there is none.
	candidateInterval = 500 * time.Millisecond
	// minPollInterval is the minimum time between a response and the next request, so that
	// a series of changes is fetched together.
	minPollInterval = 50 * time.Millisecond
	// maxResponseBytes bounds the body of a response: a table and 10,000 targets.
	maxResponseBytes = 16 << 20
)

// errNotServing marks an HTTP response of a relay with a status other than 200.
var errNotServing = errors.New("relay does not follow the store itself")

// View is the cached state of a gate that the responses of a relay update.
type View interface {
	// TableEdition returns the edition of the cached table, zero if there is none.
	TableEdition() route.Edition
	// ApplyTable stores a table in the platform's encoding, which was the newest at asOf in
	// an era of the store. Empty data confirms the cached table.
	ApplyTable(data []byte, era int64, asOf time.Duration) error
	// ApplyTargets stores the full target list of a revision of the store. Between the relay's
	// last list before recovered and that one, entries of live targets may have expired; zero:
	// never.
	ApplyTargets(listed []target.Instance, revision, recovered Revision)
	// ApplyEvacuations stores the list of evacuated failure domains.
	ApplyEvacuations(list target.EvacuationList)
}

// Config configures a Member.
type Config struct {
	// Candidates returns the relays to poll, highest rank first. If there is none, this
	// gate follows the store itself.
	Candidates func() []netip.AddrPort
	View       View
	Now        func() time.Duration // includes suspended time
	// Steady is the clock of target.Instance.ReportedColdUntil; nil: Now.
	Steady func() time.Duration
	Log    hclog.Logger
}

// Member polls a relay for changes of the table and the targets in the store.
type Member struct {
	config Config
	client *http.Client
	polls  *prometheus.CounterVec

	mu     sync.Mutex
	served chan struct{} // closed once no relay serves this gate; nil while none does

	// Only Run uses these.
	relay      netip.AddrPort
	position   pollRequest
	targets    map[string]target.Instance
	avoidUntil map[netip.AddrPort]time.Duration // end of the backoff of a relay
}

// NewMember returns a member that no relay serves yet.
func NewMember(config Config, reg prometheus.Registerer) *Member {
	return &Member{
		config:     config,
		client:     &http.Client{Transport: desync.NewTransport(&http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 1})},
		polls:      metric.NewFactory(reg, "mastichollow_relay").CounterVec("questions_total", "Poll requests to relays, by result.", "result"),
		avoidUntil: make(map[netip.AddrPort]time.Duration),
	}
}

// Served reports whether a relay serves this gate.
func (m *Member) Served() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.served != nil
}

// AwaitDirect blocks until no relay serves this gate, so that the gate must follow the
// store itself, or until ctx ends.
func (m *Member) AwaitDirect(ctx context.Context) {
	m.mu.Lock()
	served := m.served
	m.mu.Unlock()
	if served == nil {
		return
	}
	select {
	case <-served:
	case <-ctx.Done():
	}
}

// setServed records whether a relay serves this gate and wakes AwaitDirect once none does.
func (m *Member) setServed(isServed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case isServed && m.served == nil:
		m.served = make(chan struct{})
	case !isServed && m.served != nil:
		close(m.served)
		m.served = nil
	}
}

// Run polls relays until ctx ends.
func (m *Member) Run(ctx context.Context) {
	defer m.setServed(false)
	for ctx.Err() == nil {
		relay, found := m.chooseRelay()
		if !found {
			m.setServed(false)
			clock.Sleep(ctx, candidateInterval)
			continue
		}
		if err := m.poll(ctx, relay); err != nil && ctx.Err() == nil {
			m.handleFailure(relay, err)
			continue
		}
		m.polls.WithLabelValues("done").Inc()
		clock.Sleep(ctx, minPollInterval)
	}
}

// handleFailure starts the backoff of a relay after a failed poll.
func (m *Member) handleFailure(relay netip.AddrPort, err error) {
	m.polls.WithLabelValues("failed").Inc()
	backoff := failureBackoff
	if errors.Is(err, errNotServing) {
		backoff = refusalBackoff
	}
	m.avoidUntil[relay] = m.config.Now() + backoff
	if !m.Served() {
		m.config.Log.Debug("relay does not serve", "relay", relay.String(), "error", err)
		return
	}
	m.setServed(false)
	m.config.Log.Warn("relay lost, following the store itself", "relay", relay.String(), "error", err)
}

// chooseRelay returns the highest-ranking relay that is not in backoff.
func (m *Member) chooseRelay() (netip.AddrPort, bool) {
	now := m.config.Now()
	for relay, until := range m.avoidUntil {
		if now >= until {
			delete(m.avoidUntil, relay)
		}
	}
	for _, relay := range m.config.Candidates() {
		if _, inBackoff := m.avoidUntil[relay]; !inBackoff {
			return relay, true
		}
	}
	return netip.AddrPort{}, false
}

// poll sends one poll request to a relay and applies the response to the view.
func (m *Member) poll(ctx context.Context, relay netip.AddrPort) error {
	if relay != m.relay {
		m.relay, m.position, m.targets = relay, pollRequest{}, nil
	}
	edition := m.config.View.TableEdition()
	m.position.TableVersion, m.position.TableDigest = edition.Version, edition.Digest
	sentAt := m.config.Now()
	resp, err := m.sendPoll(ctx, relay, m.position)
	if err != nil {
		return err
	}
	// Applied whatever the age of the table: an old list never ends an evacuation.
	m.config.View.ApplyEvacuations(resp.evacuations())
	// TableAge counts back from the arrival of the request, which is after sentAt. The
	// result is therefore never later than the relay's confirmation of the table.
	asOf := sentAt - resp.TableAge
	if age := m.config.Now() - asOf; age > maxTableAge {
		return errors.Newf("table of the relay is %d ms old", age.Milliseconds())
	}
	if err := m.config.View.ApplyTable(resp.Table, resp.TableEra, asOf); err != nil {
		return err
	}
	if !m.applyChanges(resp) {
		return errors.New("response holds only changes, but no full target list was received")
	}
	m.config.View.ApplyTargets(m.targetList(), resp.revision(), resp.recovered())
	m.position.Epoch, m.position.Sequence, m.position.Confirmations, m.position.EvacuationChanges = resp.Epoch, resp.Sequence, resp.Confirmations, resp.EvacuationChanges
	if !m.Served() {
		m.config.Log.Info("served by a relay", "relay", relay.String(), "targets", len(m.targets), "table_version", resp.TableVersion)
	}
	m.setServed(true)
	return nil
}

// applyChanges applies the changes of targets in a response. It returns false if they
// have no full list to apply to.
func (m *Member) applyChanges(resp *pollResponse) bool {
	if resp.Full {
		m.targets = make(map[string]target.Instance, len(resp.Targets))
	}
	if m.targets == nil {
		return false
	}
	for _, id := range resp.Removed {
		delete(m.targets, id)
	}
	steadyNow := steady(m.config.Steady, m.config.Now)()
	// A target that was removed and listed again is both in Removed and in Targets.
	for _, instance := range resp.Targets {
		m.targets[instance.ID] = instance.decode(steadyNow)
	}
	return true
}

func (m *Member) targetList() []target.Instance {
	all := make([]target.Instance, 0, len(m.targets))
	for _, instance := range m.targets {
		all = append(all, instance)
	}
	return all
}

// Bootstrap fetches the cached state of a peer once, regardless of its age, and applies
// it to the view. A gate that starts while the store is unreachable can then serve the
// requests for which an old table is good enough. The peer does not become its relay.
func (m *Member) Bootstrap(ctx context.Context, peer netip.AddrPort) error {
	sentAt := m.config.Now()
	resp, err := m.sendPoll(ctx, peer, pollRequest{AnyAge: true})
	if err != nil {
		return err
	}
	m.config.View.ApplyEvacuations(resp.evacuations())
	if err := m.config.View.ApplyTable(resp.Table, resp.TableEra, sentAt-resp.TableAge); err != nil {
		return err
	}
	steadyNow := steady(m.config.Steady, m.config.Now)()
	listed := make([]target.Instance, 0, len(resp.Targets))
	for _, instance := range resp.Targets {
		listed = append(listed, instance.decode(steadyNow))
	}
	m.config.View.ApplyTargets(listed, resp.revision(), resp.recovered())
	return nil
}

// sendPoll sends a poll request and returns the decoded response. The error is marked
// errNotServing if the relay responded with a status other than 200.
func (m *Member) sendPoll(ctx context.Context, relay netip.AddrPort, pollReq pollRequest) (*pollResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, longPollTimeout+responseMargin)
	defer cancel()
	body, err := cbor.Marshal(pollReq)
	if err != nil {
		return nil, errors.Wrap(err, "encoding the poll request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+relay.String()+Path, bytes.NewReader(body))
	if err != nil {
		return nil, errors.Wrap(err, "creating the poll request")
	}
	resp, err := m.client.Do(req)
	if err != nil {
		m.client.CloseIdleConnections() // a connection without response may be dead
		return nil, errors.Wrap(err, "polling the relay")
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return nil, errors.Wrap(err, "reading the poll response")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Mark(errors.Newf("relay responded with status %d: %s", resp.StatusCode, data), errNotServing)
	}
	pollResp := &pollResponse{}
	return pollResp, errors.Wrap(cbor.Unmarshal(data, pollResp), "decoding the poll response")
}

// steady returns the first clock, or fallback if it is nil.
func steady(clock, fallback func() time.Duration) func() time.Duration {
	if clock == nil {
		return fallback
	}
	return clock
}
