package agent

import "sync"

// fence is the fencing number that the agent's calls carry.
type fence struct {
	mu       sync.Mutex
	value    uint64
	acquired bool
	refused  bool // the target has seen a greater one
}

func (f *fence) set(value uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.value, f.acquired = value, true
}

func (f *fence) number() uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.value
}

func (f *fence) refuse() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refused = true
}

func (f *fence) isRefused() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.refused
}

// fault returns why the agent may not give orders, or an empty string.
func (f *fence) fault() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case f.refused:
		return "target refused the fencing number"
	case !f.acquired:
		return "no fencing number is known"
	default:
		return ""
	}
}
