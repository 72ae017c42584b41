// Package peers lets the gates tell each other their load, the usage of
// workspaces and the requests that crash targets.
//
// Problem: no gate sees the whole load, and any of them may be cut off, frozen
// or gone at any moment.
//
// Invariants: a gate works without any peer, on what it knows itself; a report
// counts only for some seconds; an older report of the same start of a peer
// never replaces a newer one.
//
// Rejected: QUIC, as between routers and agents. A report is worth sending once
// and is replaced by the next in a fraction of a second; connections to all
// peers, their keep-alives and handshakes cost a gate of a third of a core more
// than the reports themselves.
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
	// interval is the pause between two rounds of reports. While the fleet is small,
	// each peer of the own region gets one in each round.
	interval = 200 * time.Millisecond
	// farRounds is the number of rounds in which each peer of another region gets one
	// at most: bytes between regions are paid for, and their targets are used last.
	farRounds = 2
	// nearPerRound and farPerRound bound the reports of a round, so that what a gate
	// sends and receives does not grow with the fleet; in larger ones each peer hears
	// less often. The users' largest deployment has 33 gates in three regions.
	nearPerRound = 20
	farPerRound  = 12
	// maxDatagram bounds a report, below what one UDP datagram carries.
	maxDatagram = 32 << 10
	// startTime is how long after its own start a gate takes listed peers that it has
	// not heard of yet as alive: some rounds of reports.
	startTime = 3 * time.Second
	// leastSilence is the time after which a peer is taken as gone: twenty reports, or
	// ten from another region.
	leastSilence = 4 * time.Second
	// perThousand is the precision of learnt figures in reports.
	perThousand = 1000
	// silentReports is the number of reports that a peer must miss at least.
	silentReports = 3.5
)

// Address is a peer as the platform's store lists it.
type Address struct {
	Node   string
	Addr   netip.AddrPort
	Domain string // failure domain
	Region string
}

// message is one report on the wire.
type message struct {
	Node     string              `cbor:"1,keyasint"`
	Start    int64               `cbor:"2,keyasint"` // Unix ms of the sender's start
	Sequence uint64              `cbor:"3,keyasint"`
	Loads    map[string][3]int   `cbor:"4,keyasint"`
	Usage    map[string][2]int64 `cbor:"5,keyasint"`
	Suspects map[uint64][]string `cbor:"6,keyasint,omitempty"`
	// Leaving holds the starts (Unix ms) of targets that said that they leave.
	Leaving map[string]int64 `cbor:"7,keyasint,omitempty"`
	// Pauses holds the start (Unix ms) of a target and the rest of its pause (ms).
	Pauses map[string][2]int64 `cbor:"8,keyasint,omitempty"`
	// Engines holds what the gate has learnt of the engines of a service: thousandths of
	// tokens a millisecond, microseconds, and the observations behind each.
	Engines map[string][4]int64 `cbor:"9,keyasint,omitempty"`
}

// Config configures an Exchange.
type Config struct {
	Node   string
	Domain string // failure domain
	Region string
	Listen string // IP:port (UDP)
	Start  int64  // Unix ms
	Now    func() time.Duration
	Log    hclog.Logger
}

// Exchange sends and receives reports.
type Exchange struct {
	config     Config
	controller *admission.Controller
	directory  *target.Directory
	socket     *net.UDPConn
	metrics    exchangeMetrics

	mu       sync.Mutex
	listed   []Address
	heard    map[string]*heard
	known    bool // the list of gates was read
	started  time.Duration
	sequence uint64
	// nextNear and nextFar are the places in the rotation of peers.
	nextNear, nextFar int
}

// heard is what is known of a peer that was heard of.
type heard struct {
	start    int64
	sequence uint64
	at       time.Duration
	from     netip.AddrPort // of its reports, where it serves its feed too
}

type exchangeMetrics struct {
	sent, received, faulty prometheus.Counter
	alive                  prometheus.Gauge
}

// Listen opens the socket of an Exchange.
func Listen(config Config, controller *admission.Controller, directory *target.Directory, reg prometheus.Registerer) (*Exchange, error) {
	addr, err := net.ResolveUDPAddr("udp4", config.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "address for peers %q", config.Listen)
	}
	socket, err := net.ListenUDP("udp4", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listening for peers on %s", config.Listen)
	}
	f := metric.For(reg, "mastichollow_peers")
	return &Exchange{
		config:     config,
		controller: controller,
		directory:  directory,
		socket:     socket,
		started:    config.Now(),
		heard:      make(map[string]*heard),
		metrics: exchangeMetrics{
			sent:     f.Counter("sent_bytes_total", "Bytes of reports sent to peers."),
			received: f.Counter("received_bytes_total", "Bytes of reports received from peers."),
			faulty:   f.Counter("faulty_reports_total", "Reports that could not be read or were out of date."),
			alive:    f.Gauge("alive", "Peers heard of in the last seconds."),
		},
	}, nil
}

// SetPeers takes the list of gates from the platform's store.
func (e *Exchange) SetPeers(listed []Address) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.listed, e.known = e.listed[:0], true
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
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.send()
		}
	}
}

// send sends the reports of one round.
func (e *Exchange) send() {
	now := e.config.Now()
	alive := e.expire(now)
	e.metrics.alive.Set(float64(alive))
	e.controller.SetGateCount(alive + 1)
	data, err := e.encode(now)
	if err != nil {
		e.config.Log.Error("report cannot be encoded", "error", err)
		return
	}
	for _, addr := range e.round() {
		// A failed send is like a lost datagram: the next report replaces it.
		if n, err := e.socket.WriteToUDPAddrPort(data, addr); err == nil {
			e.metrics.sent.Add(float64(n))
		}
	}
}

// expire forgets silent peers and returns how many are left.
func (e *Exchange) expire(now time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	silence := e.silence()
	e.controller.SetPeerReportLifetime(silence)
	for node, h := range e.heard {
		if now-h.at > silence {
			delete(e.heard, node)
			e.config.Log.Warn("peer lost", "peer", node, "silent_ms", (now - h.at).Milliseconds())
		}
	}
	return len(e.heard)
}

func (e *Exchange) encode(now time.Duration) ([]byte, error) {
	report := e.controller.Report(now)
	e.mu.Lock()
	e.sequence++
	m := message{
		Node:     e.config.Node,
		Start:    e.config.Start,
		Sequence: e.sequence,
		Loads:    make(map[string][3]int, len(report.Loads)),
		Usage:    make(map[string][2]int64, len(report.Usage)),
		Leaving:  e.directory.Left(now),
	}
	e.mu.Unlock()
	if len(report.Backoffs) > 0 {
		m.Pauses = make(map[string][2]int64, len(report.Backoffs))
		for id, p := range report.Backoffs {
			m.Pauses[id] = [2]int64{p.TargetStarted, p.Remaining.Milliseconds()}
		}
	}
	for id, l := range report.Loads {
		m.Loads[id] = [3]int{l.InFlight, l.PendingPromptTokens, l.Tokens}
	}
	for ws, u := range report.Usage {
		m.Usage[ws] = [2]int64{int64(u.Requested), int64(u.Served)}
	}
	if len(report.Estimates) > 0 {
		m.Engines = make(map[string][4]int64, len(report.Estimates))
		for service, l := range report.Estimates {
			m.Engines[service] = [4]int64{int64(l.Speed * perThousand), int64(l.Overhead * perThousand), int64(l.SpeedObservations), int64(l.OverheadObservations)}
		}
	}
	if len(report.Suspects) > 0 {
		m.Suspects = make(map[uint64][]string, len(report.Suspects))
		for f, targets := range report.Suspects {
			m.Suspects[uint64(f)] = targets
		}
	}
	data, err := cbor.Marshal(m)
	if err == nil && len(data) > maxDatagram {
		m.Suspects = nil
		data, err = cbor.Marshal(m)
	}
	return data, err
}

func (e *Exchange) receive(ctx context.Context) {
	buf := make([]byte, 64<<10)
	for {
		n, from, err := e.socket.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.config.Log.Warn("receiving from peers failed", "error", err)
			time.Sleep(interval)
			continue
		}
		e.metrics.received.Add(float64(n))
		e.take(buf[:n], from)
	}
}

// take merges one report, unless it is faulty or older than one before.
func (e *Exchange) take(data []byte, from netip.AddrPort) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.Node == "" || m.Node == e.config.Node {
		e.metrics.faulty.Inc()
		return
	}
	now := e.config.Now()
	if !e.newer(now, &m, from) {
		e.metrics.faulty.Inc()
		return
	}
	r := admission.Report{
		Loads:     make(map[string]admission.Load, len(m.Loads)),
		Usage:     make(map[string]admission.Usage, len(m.Usage)),
		Suspects:  make(map[admission.Fingerprint][]string, len(m.Suspects)),
		Backoffs:  make(map[string]admission.Backoff, len(m.Pauses)),
		Estimates: make(map[string]admission.EngineEstimate, len(m.Engines)),
	}
	for service, l := range m.Engines {
		r.Estimates[service] = admission.EngineEstimate{
			Speed: float64(l[0]) / perThousand, Overhead: float64(l[1]) / perThousand, SpeedObservations: int(l[2]), OverheadObservations: int(l[3]),
		}
	}
	for id, l := range m.Loads {
		r.Loads[id] = admission.Load{InFlight: max(l[0], 0), PendingPromptTokens: max(l[1], 0), Tokens: max(l[2], 0)}
	}
	for ws, u := range m.Usage {
		r.Usage[ws] = admission.Usage{Requested: float64(max(u[0], 0)), Served: float64(max(u[1], 0))}
	}
	for f, targets := range m.Suspects {
		r.Suspects[admission.Fingerprint(f)] = targets
	}
	for id, p := range m.Pauses {
		r.Backoffs[id] = admission.Backoff{TargetStarted: p[0], Remaining: time.Duration(p[1]) * time.Millisecond}
	}
	e.controller.Merge(now, m.Node, r)
	for id, born := range m.Leaving {
		if e.directory.Leave(id, born, now, false) {
			e.config.Log.Info("target leaves", "target", id, "told_by", m.Node)
		}
	}
}

func (e *Exchange) newer(now time.Duration, m *message, from netip.AddrPort) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	h := e.heard[m.Node]
	if h == nil {
		h = &heard{}
		e.heard[m.Node] = h
		e.config.Log.Info("peer heard", "peer", m.Node)
	} else if m.Start < h.start || (m.Start == h.start && m.Sequence <= h.sequence) {
		return false
	}
	h.start, h.sequence, h.at, h.from = m.Start, m.Sequence, now, from
	return true
}

// Listed returns the number of peers that the store lists; false: not read yet.
func (e *Exchange) Listed() (int, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.listed), e.known
}

// Ahead returns the addresses of the peers of the own failure domain that were
// heard of lately and rank before this gate, in their order. All gates of a domain
// rank alike.
func (e *Exchange) Ahead() []netip.AddrPort {
	starting := e.config.Now()-e.started < startTime
	e.mu.Lock()
	defer e.mu.Unlock()
	own := rank(e.config.Node)
	var ahead []Address
	for _, a := range e.listed {
		if a.Domain == e.config.Domain && (starting || e.heard[a.Node] != nil) && rank(a.Node) > own {
			ahead = append(ahead, a)
		}
	}
	slices.SortFunc(ahead, func(a, b Address) int { return cmp.Compare(rank(b.Node), rank(a.Node)) })
	addrs := make([]netip.AddrPort, len(ahead))
	for i, a := range ahead {
		addrs[i] = a.Addr
	}
	return addrs
}

// Heard returns the addresses from which peers reported lately, in the same order on
// each call.
func (e *Exchange) Heard() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	nodes := slices.SortedFunc(maps.Keys(e.heard), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	addrs := make([]netip.AddrPort, 0, len(nodes))
	for _, node := range nodes {
		addrs = append(addrs, e.heard[node].from)
	}
	return addrs
}

func rank(node string) uint64 { return xxhash.Sum64String(node) }

// Alive returns the number of peers heard of lately.
func (e *Exchange) Alive() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heard)
}
