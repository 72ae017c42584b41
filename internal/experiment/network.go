package experiment

import "time"

// network carries messages between regions.
type network struct {
	w *world
}

// cut reports whether regions a and b do not reach each other now.
func (n *network) cut(a, b int) bool {
	s := &n.w.scenario
	if a == b || s.CutTo == 0 || n.w.Now() < s.CutFrom || n.w.Now() >= s.CutTo {
		return false
	}
	return a == 2 || b == 2
}

// delay is the time one way between regions a and b.
func (n *network) delay(a, b int) time.Duration {
	if a == b {
		return n.w.deployment.Near
	}
	return n.w.deployment.Far
}

// send runs f at b once a message from a has come, and reports whether it can.
func (n *network) send(a, b int, f func()) bool {
	if n.cut(a, b) {
		return false
	}
	n.w.After(n.delay(a, b), f)
	return true
}

// control delivers a report or digest, which may be lost or come again late.
func (n *network) control(a, b int, f func()) {
	s := &n.w.scenario
	if n.cut(a, b) || n.w.chance(s.Loss) {
		return
	}
	n.w.After(n.delay(a, b), f)
	if n.w.chance(s.Repeat) {
		n.w.After(n.delay(a, b)+5*time.Second, f)
	}
}
