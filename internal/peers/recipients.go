package peers

import (
	"net/netip"
	"time"
)

// nextRecipients returns the addresses of the peers that get a report in this round and
// advances the rotations.
func (e *Exchange) nextRecipients() []netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	local, remote := e.splitByRegion()
	addrs := make([]netip.AddrPort, 0, maxLocalPerRound+maxRemotePerRound)
	addrs, e.nextLocal = rotate(addrs, local, e.nextLocal, min(len(local), maxLocalPerRound))
	addrs, e.nextRemote = rotate(addrs, remote, e.nextRemote, min((len(remote)+remoteRounds-1)/remoteRounds, maxRemotePerRound))
	return addrs
}

// splitByRegion returns the addresses of the listed peers in the local region and of
// those in remote regions. The caller holds mu.
func (e *Exchange) splitByRegion() (local, remote []netip.AddrPort) {
	for _, a := range e.listed {
		if a.Region == e.config.Region {
			local = append(local, a.Addr)
		} else {
			remote = append(remote, a.Addr)
		}
	}
	return local, remote
}

// rotate appends count addresses of peers to recipients, starting at index next and
// wrapping around. It returns the recipients and the index to continue at.
func rotate(recipients, peers []netip.AddrPort, next, count int) ([]netip.AddrPort, int) {
	for range count {
		next %= len(peers)
		recipients = append(recipients, peers[next])
		next++
	}
	return recipients, next
}

// peerTimeout returns the time without a report after which a peer counts as down. All
// gates use the same rotation, so reports arrive from a peer as often as they are sent
// to it. The caller holds mu.
func (e *Exchange) peerTimeout() time.Duration {
	return max(minPeerTimeout, time.Duration(minMissedReports*e.rounds()*float64(reportInterval)))
}

// rounds returns the rounds between two reports to a peer, without remoteRounds. The caller
// holds mu.
func (e *Exchange) rounds() float64 {
	local, remote := e.splitByRegion()
	return max(float64(len(local))/maxLocalPerRound, float64(len(remote))/maxRemotePerRound)
}

// rotationTime returns the longest time between two reports to a peer. The caller holds mu.
func (e *Exchange) rotationTime() time.Duration {
	return time.Duration(max(remoteRounds, e.rounds()) * float64(reportInterval))
}
