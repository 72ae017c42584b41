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
	// nearInterval is the pause between reports to peers of the own region.
	nearInterval = 200 * time.Millisecond
	// farEvery sends each such report to other regions: bytes between regions
	// are paid for, and their targets are used last.
	farEvery = 2
	// maxDatagram bounds a report, below what one UDP datagram carries.
	maxDatagram = 32 << 10
	// silence is the time after which a peer is taken as gone: ten reports, or
	// four from another region.
	silence = 4 * time.Second
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
	sequence uint64
}

// heard is what is known of a peer that was heard of.
type heard struct {
	start    int64
	sequence uint64
	at       time.Duration
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
	e.listed = e.listed[:0]
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
	ticker := time.NewTicker(nearInterval)
	defer ticker.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.send(round%farEvery == 0)
		}
	}
}

func (e *Exchange) send(far bool) {
	now := e.config.Now()
	alive := e.expire(now)
	e.metrics.alive.Set(float64(alive))
	e.controller.SetGates(alive + 1)
	data, err := e.encode(now)
	if err != nil {
		e.config.Log.Error("report cannot be encoded", "error", err)
		return
	}
	for _, a := range e.addresses() {
		if !far && a.Region != e.config.Region {
			continue
		}
		// A failed send is like a lost datagram: the next report replaces it.
		if n, err := e.socket.WriteToUDPAddrPort(data, a.Addr); err == nil {
			e.metrics.sent.Add(float64(n))
		}
	}
}

func (e *Exchange) addresses() []Address {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]Address(nil), e.listed...)
}

// expire forgets silent peers and returns how many are left.
func (e *Exchange) expire(now time.Duration) int {
	e.mu.Lock()
	defer e.mu.Unlock()
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
	if len(report.Pauses) > 0 {
		m.Pauses = make(map[string][2]int64, len(report.Pauses))
		for id, p := range report.Pauses {
			m.Pauses[id] = [2]int64{p.Born, p.Left.Milliseconds()}
		}
	}
	for id, l := range report.Loads {
		m.Loads[id] = [3]int{l.Running, l.Reading, l.Held}
	}
	for ws, u := range report.Usage {
		m.Usage[ws] = [2]int64{int64(u.Asked), int64(u.Served)}
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
		n, _, err := e.socket.ReadFromUDPAddrPort(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			e.config.Log.Warn("receiving from peers failed", "error", err)
			time.Sleep(nearInterval)
			continue
		}
		e.metrics.received.Add(float64(n))
		e.take(buf[:n])
	}
}

// take merges one report, unless it is faulty or older than one before.
func (e *Exchange) take(data []byte) {
	var m message
	if err := cbor.Unmarshal(data, &m); err != nil || m.Node == "" || m.Node == e.config.Node {
		e.metrics.faulty.Inc()
		return
	}
	now := e.config.Now()
	if !e.newer(now, &m) {
		e.metrics.faulty.Inc()
		return
	}
	r := admission.Report{
		Loads:    make(map[string]admission.Load, len(m.Loads)),
		Usage:    make(map[string]admission.Usage, len(m.Usage)),
		Suspects: make(map[admission.Fingerprint][]string, len(m.Suspects)),
		Pauses:   make(map[string]admission.Pause, len(m.Pauses)),
	}
	for id, l := range m.Loads {
		r.Loads[id] = admission.Load{Running: max(l[0], 0), Reading: max(l[1], 0), Held: max(l[2], 0)}
	}
	for ws, u := range m.Usage {
		r.Usage[ws] = admission.Usage{Asked: float64(max(u[0], 0)), Served: float64(max(u[1], 0))}
	}
	for f, targets := range m.Suspects {
		r.Suspects[admission.Fingerprint(f)] = targets
	}
	for id, p := range m.Pauses {
		r.Pauses[id] = admission.Pause{Born: p[0], Left: time.Duration(p[1]) * time.Millisecond}
	}
	e.controller.Merge(now, m.Node, r)
	for id, born := range m.Leaving {
		if e.directory.Leave(id, born, now, false) {
			e.config.Log.Info("target leaves", "target", id, "told_by", m.Node)
		}
	}
}

func (e *Exchange) newer(now time.Duration, m *message) bool {
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
	h.start, h.sequence, h.at = m.Start, m.Sequence, now
	return true
}

// Ahead returns the addresses of the peers of the own failure domain that were
// heard of lately and rank before this gate, in their order. All gates of a domain
// rank alike.
func (e *Exchange) Ahead() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	own := rank(e.config.Node)
	var ahead []Address
	for _, a := range e.listed {
		if a.Domain == e.config.Domain && e.heard[a.Node] != nil && rank(a.Node) > own {
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

func rank(node string) uint64 { return xxhash.Sum64String(node) }

// Alive returns the number of peers heard of lately.
func (e *Exchange) Alive() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.heard)
}
