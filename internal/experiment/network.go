package experiment

import "time"

// network carries messages between regions.
type network struct {
	sim *simulation
}

// partitioned reports whether a partition separates regions a and b now.
func (n *network) partitioned(a, b int) bool {
	s := &n.sim.scenario
	if a == b || s.PartitionEnd == 0 || n.sim.Now() < s.PartitionStart || n.sim.Now() >= s.PartitionEnd {
		return false
	}
	return a == 2 || b == 2
}

// delay returns the one-way delay between regions a and b.
func (n *network) delay(a, b int) time.Duration {
	if a == b {
		return n.sim.deployment.LocalDelay
	}
	return n.sim.deployment.RemoteDelay
}

// send runs f after the delay from a to b. It reports false, and doesn't run f, if the
// regions are partitioned.
func (n *network) send(a, b int, f func()) bool {
	if n.partitioned(a, b) {
		return false
	}
	n.sim.After(n.delay(a, b), f)
	return true
}

// sendControl runs f when a report or digest from a arrives at b. The message may be lost,
// or arrive a second time 5 s late.
func (n *network) sendControl(a, b int, f func()) {
	s := &n.sim.scenario
	if n.partitioned(a, b) || n.sim.chance(s.LossRate) {
		return
	}
	n.sim.After(n.delay(a, b), f)
	if n.sim.chance(s.LateDuplicateRate) {
		n.sim.After(n.delay(a, b)+5*time.Second, f)
	}
}
