// Package peers exchanges load reports between gates over UDP: the load of
// targets, the usage of workspaces, and the requests and parts of prompts that crash
// targets.
//
// Problem: no gate sees the total load, and any gate may be partitioned, frozen
// or down at any time.
//
// Invariants: a gate works without any peer, on its local state; a report
// expires after some seconds; a report never replaces a newer one of the same
// peer and incarnation.
//
// Rejected: QUIC, as between routers and agents. A lost report needs no
// retransmission, because the next one replaces it within a fraction of a second.
// Connections to all peers, with their keep-alives and handshakes, cost a gate
// that has a third of a core more than the reports themselves.
package peers

import (
	"cmp"
	"context"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mastichollow/mastichollow/internal/admission"
	"github.com/mastichollow/mastichollow/internal/metric"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// reportInterval is the time between two rounds of reports. In a small fleet each
	// peer in the local region gets a report in every round.
	reportInterval = 200 * time.Millisecond
	// remoteRounds is the minimum number of rounds between two reports to a peer in a
	// remote region: traffic between regions is billed, and remote targets are used last.
	remoteRounds = 2
	// maxLocalPerRound and maxRemotePerRound bound the reports of a round, so that the
	// traffic of a gate does not grow with the fleet; in larger fleets each peer gets
	// reports less often. The users' largest deployment has 33 gates in three regions.
	maxLocalPerRound  = 20
	maxRemotePerRound = 12
	// maxReportBytes bounds an encoded report, below the size limit of a UDP datagram.
	maxReportBytes = 32 << 10
	// maxUnlistedPeers bounds the peers that the store does not list: some that start, or all
	// while the list was not read yet. Reports are not authenticated, and each name takes
	// memory.
	maxUnlistedPeers = 128
	// startupGrace is how long after its start a gate treats listed peers that have not
	// reported yet as alive: some rounds of reports.
	startupGrace = 3 * time.Second
	// minPeerTimeout is the minimum time without a report after which a peer counts as
	// down: twenty reports, or ten from a remote region.
	minPeerTimeout = 4 * time.Second
	// fixedPointScale is the number of units per 1.0 of the estimates in reports.
	fixedPointScale = 1000
	// minMissedReports is the minimum number of reports that a peer must miss to count as
	// down. It sets the timeout in fleets that are too large for minPeerTimeout.
	minMissedReports = 3.5
	// fullReportRotations is the time, in rotations, for which reports name all suspects
	// after a peer has started: one of three reports must arrive.
	fullReportRotations = 3
)

// Address is a gate as the platform's metadata store lists it.
type Address struct {
	Node   string
	Addr   netip.AddrPort
	Domain string // failure domain
	Region string
}

// message is the wire format of a report.
type message struct {
	Node     string `cbor:"1,keyasint"`
	Start    int64  `cbor:"2,keyasint"` // start of the sender, Unix ms
	Sequence uint64 `cbor:"3,keyasint"`
	// Loads holds, by target ID, the fields of admission.Load in their order.
	Loads map[string][3]int `cbor:"4,keyasint"`
	// Usage holds, by workspace, the fields of admission.Usage in their order.
	Usage map[string][2]int64 `cbor:"5,keyasint"`
	// Field 6 held the IDs of targets by request fingerprint; Crashes has their runs now.

	// Draining holds, by ID, the starts (Unix ms) of targets that announced to the sender
	// that they are draining.
	Draining map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Backoffs holds, by target ID, the start of the target (Unix ms) and the remaining
	// backoff (ms).
	Backoffs map[string][2]int64 `cbor:"8,keyasint,omitempty"`
	// EngineEstimates holds the sender's learned estimates of the engines of a service:
	// read speed (thousandths of tokens per millisecond), overhead (microseconds), and the
	// number of observations behind each.
	EngineEstimates map[string][4]int64 `cbor:"9,keyasint,omitempty"`
	Crashes         *crashMessage       `cbor:"10,keyasint,omitempty"`
	// RequestLimits holds the request limits of targets, by target ID.
	RequestLimits map[string]limitMessage `cbor:"11,keyasint,omitempty"`
	// Speeds holds the learned speeds of targets, by service.
	Speeds map[string]speedsMessage `cbor:"15,keyasint,omitempty"`
}

// Config configures an Exchange.
type Config struct {
	Node   string
	Domain string // failure domain
	Region string
	Listen string // IP:port (UDP)
	Start  int64  // start of this gate, Unix ms
	Now    func() time.Duration
	Log    hclog.Logger
}

// Exchange sends reports to peers and merges the reports received from them.
type Exchange struct {
	config     Config
	controller *admission.Controller
	directory  *target.Directory
	socket     *net.UDPConn
	metrics    exchangeMetrics

	mu         sync.Mutex
	listed     []Address
	peers      map[string]*peerState
	listLoaded bool // the list of gates was read from the store
	startedAt  time.Duration
	sequence   uint64
	// nextLocal and nextRemote are the positions in the rotations of peers.
	nextLocal, nextRemote int
	// fullReportsUntil is the time until which reports name all suspects, for a peer that
	// has started.
	fullReportsUntil time.Duration
}

// peerState is the state of a peer that reported within the peer timeout.
type peerState struct {
	start    int64
	sequence uint64
	lastSeen time.Duration
	addr     netip.AddrPort // source of its reports; it serves its relay feed there too
}

type exchangeMetrics struct {
	sent, received, faulty prometheus.Counter
	alive                  prometheus.Gauge
}

// Listen opens the UDP socket and returns an Exchange that sends and receives once Run
// is called.
func Listen(config Config, controller *admission.Controller, directory *target.Directory, reg prometheus.Registerer) (*Exchange, error) {
	addr, err := net.ResolveUDPAddr("udp4", config.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "address for peers %q", config.Listen)
	}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for peers on %s", config.Listen)
	}
	f := metric.NewFactory(reg, "mastichollow_peers")
	return &Exchange{
		config:     config,
		controller: controller,
		directory:  directory,
		socket:     socket,
		startedAt:  config.Now(),
		peers:      make(map[string]*peerState),
		metrics: exchangeMetrics{
			sent:     f.Counter("sent_bytes_total", "Bytes of reports sent to peers."),
			received: f.Counter("received_bytes_total", "Bytes of reports received from peers."),
			faulty:   f.Counter("faulty_reports_total", "Reports that could not be decoded or were out of date."),
			alive:    f.Gauge("alive", "Peers that reported within the peer timeout."),
		},
	}, nil
}

// SetPeers replaces the list of gates by the one read from the metadata store. The
// local gate is skipped.
func (e *Exchange) SetPeers(listed []Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed, e.listLoaded = e.listed[:0], true
	for _, a := range listed {
		if a.Node != e.config.Node {
			e.listed = append(e.listed, a)
		}
	}
}

// Run sends and receives reports until ctx ends.
func (e *Exchange) Run(ctx context.Context) {
	stop := context.AfterFunc(ctx, func() { _ = e.socket.Close() })
	defer stop()
	go e.receive(ctx)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.sendReports()
		}
	}
}

// sendReports drops expired peers, updates the admission controller and sends the
// reports of one round.
func (e *Exchange) sendReports() {
	now := e.config.Now()
	alive := e.expire(now)
	e.metrics.alive.Set(float64(alive))
	e.controller.SetGateCount(alive + 1)
	e.controller.SetFleet(e.fleet(now))
	data, err := e.encodeReport(now)
	if err != nil {
		e.config.Log.Error("encoding the load report failed", "error", err)
		return
	}
	for _, addr := range e.nextRecipients() {
		// A failed send equals a lost datagram: the next report replaces it.
		if n, err := e.socket.WriteToUDPAddrPort(data, addr); err == nil {
			e.metrics.sent.Add(float64(n))
		}
	}
}

// expire removes peers whose reports have timed out and returns the number of the
// remaining ones.
func (e *Exchange) expire(now time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	timeout := e.peerTimeout()
	e.controller.SetPeerReportLifetime(timeout)
	for node, p := range e.peers {
		if now-p.lastSeen > timeout {
			delete(e.peers, node)
			e.config.Log.Warn("peer timed out", "peer", node, "silent_ms", (now - p.lastSeen).Milliseconds())
		}
	}
	return len(e.peers)
}

// fleet returns the fleet as this gate knows it. Listed peers that a starting gate has not
// heard of yet count as alive.
func (e *Exchange) fleet(now time.Duration) admission.Fleet {
	starting := now-e.startedAt < startupGrace
	e.mu.Lock()
	defer e.mu.Unlock()
	fleet := admission.Fleet{Node: e.config.Node, Known: 1, Alive: []admission.FleetGate{admission.NewFleetGate(e.config.Node, e.config.Region)}}
	listed := make(map[string]bool, len(e.listed))
	for _, a := range e.listed {
		listed[a.Node] = true
		fleet.Known++
		if starting || e.peers[a.Node] != nil {
			fleet.Alive = append(fleet.Alive, admission.NewFleetGate(a.Node, a.Region))
		}
	}
	for node := range e.peers {
		if !listed[node] {
			fleet.Known++
			fleet.Alive = append(fleet.Alive, admission.NewFleetGate(node, ""))
		}
	}
	return fleet
}

// encodeReport encodes the report of this gate. It omits the speeds, then the suspects, and
// then the request limits, if the report exceeds maxReportBytes with them.
func (e *Exchange) encodeReport(now time.Duration) ([]byte, error) {
	report := e.controller.Report(now)
	e.mu.Lock()
	e.sequence++
	if now > e.fullReportsUntil {
		report.OmitOldSuspects(e.sequence)
	}
	m := message{
		Node:     e.config.Node,
		Start:    e.config.Start,
		Sequence: e.sequence,
		Loads:    make(map[string][3]int, len(report.Loads)),
		Usage:    make(map[string][2]int64, len(report.Usage)),
		Draining: e.directory.LocalDrainNotices(now),
		Crashes:  encodeCrashes(&report.Report),

		RequestLimits: encodeLimits(report.RequestLimits),
		Speeds:        encodeSpeeds(report.Speeds),
	}
	e.mu.Unlock()
	if len(report.Backoffs) > 0 {
		m.Backoffs = make(map[string][2]int64, len(report.Backoffs))
		for id, p := range report.Backoffs {
			m.Backoffs[id] = [2]int64{p.TargetStarted, p.Remaining.Milliseconds()}
		}
	}
	for id, l := range report.Loads {
		m.Loads[id] = [3]int{l.InFlight, l.PendingPromptTokens, l.Tokens}
	}
	for workspace, u := range report.Usage {
		m.Usage[workspace] = [2]int64{int64(u.Requested), int64(u.Served)}
	}
	if len(report.Estimates) > 0 {
		m.EngineEstimates = make(map[string][4]int64, len(report.Estimates))
		for service, estimate := range report.Estimates {
			m.EngineEstimates[service] = [4]int64{int64(estimate.Speed * fixedPointScale), int64(estimate.Overhead * fixedPointScale), int64(estimate.SpeedObservations), int64(estimate.OverheadObservations)}
		}
	}
	data, err := cbor.Marshal(m)
	if err == nil && len(data) > maxReportBytes {
		m.Speeds = nil
		data, err = cbor.Marshal(m)
	}
	if err == nil && len(data) > maxReportBytes {
		m.Crashes = nil
		data, err = cbor.Marshal(m)
	}
	if err == nil && len(data) > maxReportBytes {
		m.RequestLimits = nil
		data, err = cbor.Marshal(m)
	}
	return data, err
}

// receive merges incoming reports until ctx ends.
func (e *Exchange) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.config.Log.Warn("receiving from peers failed", "error", err)
			time.Sleep(reportInterval)
			continue
		}
		e.metrics.received.Add(float64(n))
		if n > maxReportBytes {
			e.metrics.faulty.Inc()
			continue
		}
		e.mergeReport(buf[:n], from)
	}
}

// mergeReport decodes and merges one report. It discards malformed reports and those
// that are not newer than the latest report of the peer.
func (e *Exchange) mergeReport(data []byte, from netip.AddrPort) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.Node == "" || m.Node == e.config.Node {
		e.metrics.faulty.Inc()
		return
	}
	now := e.config.Now()
	if !e.recordReport(now, &m, from) {
		e.metrics.faulty.Inc()
		return
	}
	r := admission.Report{
		Loads:     make(map[string]admission.Load, len(m.Loads)),
		Usage:     make(map[string]admission.Usage, len(m.Usage)),
		Backoffs:  make(map[string]admission.Backoff, len(m.Backoffs)),
		Estimates: make(map[string]admission.EngineEstimate, len(m.EngineEstimates)),
	}
	for service, estimate := range m.EngineEstimates {
		r.Estimates[service] = admission.EngineEstimate{
			Speed: float64(estimate[0]) / fixedPointScale, Overhead: float64(estimate[1]) / fixedPointScale, SpeedObservations: int(estimate[2]), OverheadObservations: int(estimate[3]),
		}
	}
	for id, l := range m.Loads {
		r.Loads[id] = admission.Load{InFlight: max(l[0], 0), PendingPromptTokens: max(l[1], 0), Tokens: max(l[2], 0)}
	}
	for workspace, u := range m.Usage {
		r.Usage[workspace] = admission.Usage{Requested: float64(max(u[0], 0)), Served: float64(max(u[1], 0))}
	}
	for id, p := range m.Backoffs {
		r.Backoffs[id] = admission.Backoff{TargetStarted: p[0], Remaining: time.Duration(p[1]) * time.Millisecond}
	}
	m.Crashes.decodeInto(&r.Report)
	r.RequestLimits = decodeLimits(m.RequestLimits)
	r.Speeds = decodeSpeeds(m.Speeds)
	e.controller.Merge(now, m.Node, r)
	for id, started := range m.Draining {
		if e.directory.MarkDraining(id, started, now, false) {
			e.config.Log.Info("target leaves", "target", id, "told_by", m.Node)
		}
	}
}

// recordReport records the arrival of a report. It returns false if the report is not
// newer than the latest one of the peer.
func (e *Exchange) recordReport(now time.Duration, m *message, from netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	p := e.peers[m.Node]
	if p == nil || m.Start > p.start {
		e.fullReportsUntil = now + fullReportRotations*e.rotationTime()
	}
	if p == nil {
		if !e.mayAdd(m.Node) {
			return false
		}
		p = &peerState{}
		e.peers[m.Node] = p
		e.config.Log.Info("peer discovered", "peer", m.Node)
	} else if m.Start < p.start || (m.Start == p.start && m.Sequence <= p.sequence) {
		return false
	}
	p.start, p.sequence, p.lastSeen, p.addr = m.Start, m.Sequence, now, from
	return true
}

// mayAdd reports whether a peer that is not known yet may be added. The caller holds mu.
func (e *Exchange) mayAdd(node string) bool {
	isNode := func(a Address) bool { return a.Node == node }
	return len(e.peers) < len(e.listed)+maxUnlistedPeers || slices.ContainsFunc(e.listed, isNode)
}

// ListedCount returns the number of peers that the store lists, and false if the list
// was not read yet.
func (e *Exchange) ListedCount() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.listed), e.listLoaded
}

// RelayCandidates returns the addresses of the alive peers in the local failure domain
// that rank above this gate, highest first. All gates of a domain compute the same
// ranks.
func (e *Exchange) RelayCandidates() []netip.AddrPort {
	starting := e.config.Now()-e.startedAt < startupGrace
	e.mu.Lock()
	defer e.mu.Unlock()
	localRank := rank(e.config.Node)
	var candidates []Address
	for _, a := range e.listed {
		if a.Domain == e.config.Domain && (starting || e.peers[a.Node] != nil) && rank(a.Node) > localRank {
			candidates = append(candidates, a)
		}
	}
	slices.SortFunc(candidates, func(a, b Address) int { return cmp.Compare(rank(b.Node), rank(a.Node)) })
	addrs := make([]netip.AddrPort, len(candidates))
	for i, a := range candidates {
		addrs[i] = a.Addr
	}
	return addrs
}

// AliveAddrs returns the source addresses of the reports of all alive peers, in an order
// that is the same for each call.
func (e *Exchange) AliveAddrs() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	nodes := slices.SortedFunc(maps.Keys(e.peers), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	addrs := make([]netip.AddrPort, 0, len(nodes))
	for _, node := range nodes {
		addrs = append(addrs, e.peers[node].addr)
	}
	return addrs
}

// rank returns the rank of a gate, a hash of its node name. The alive gate of the highest
// rank serves as the relay of a failure domain.
func rank(node string) uint64 { return xxhash.Sum64String(node) }

// AliveCount returns the number of peers that reported within the peer timeout.
func (e *Exchange) AliveCount() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.peers)
}
