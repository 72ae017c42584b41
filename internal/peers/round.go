package peers

import (
	"net/netip"
	"time"
)

// round returns the peers that get a report now, in rotation.
func (e *Exchange) round() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	near, far := e.split()
	addrs := make([]netip.AddrPort, 0, nearPerRound+farPerRound)
	addrs, e.nextNear = rotate(addrs, near, e.nextNear, min(len(near), nearPerRound))
	addrs, e.nextFar = rotate(addrs, far, e.nextFar, min((len(far)+farRounds-1)/farRounds, farPerRound))
	return addrs
}

// split returns the peers of the own region and those of others. The caller holds
// mu.
func (e *Exchange) split() (near, far []netip.AddrPort) {
	for _, a := range e.listed {
		if a.Region == e.config.Region {
			near = append(near, a.Addr)
		} else {
			far = append(far, a.Addr)
		}
	}
	return near, far
}

// rotate appends n of all, from place at on, and returns the next place.
func rotate(to, all []netip.AddrPort, at, n int) ([]netip.AddrPort, int) {
	for range n {
		at %= len(all)
		to = append(to, all[at])
		at++
	}
	return to, at
}

// silence returns the time after which a peer is taken as gone. All gates send in
// the same rotation, so a peer is heard as often as it hears. The caller holds mu.
func (e *Exchange) silence() time.Duration {
	near, far := e.split()
	rounds := max(float64(len(near))/nearPerRound, float64(len(far))/farPerRound)
	return max(leastSilence, time.Duration(silentReports*rounds*float64(interval)))
}
