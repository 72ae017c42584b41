package standin

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// AllCalls makes a counted fault meet every call.
const AllCalls = -1

// defaultRestartMS is how long a crashed target stays down, in milliseconds.
const defaultRestartMS = 500

// Faults are the faults of a stand-in. The zero value has none.
type Faults struct {
	// Down refuses calls with status 503 and no effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before its effect, also when its caller has
	// gone, in milliseconds.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// AnswerLost cuts the connection after the effect of the next n writes
	// (AllCalls: of all).
	AnswerLost int `json:"answer_lost,omitempty"`
	// RequestLost cuts the connection without effect for the next n writes
	// (AllCalls: for all).
	RequestLost int `json:"request_lost,omitempty"`
	// KeyPrefix limits Down, AnswerLost and RequestLost of the table service
	// and the object store to keys with this prefix.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// ReadsPerS and WritesPerS are the most calls of the table service and
	// the object store that are served in a second; those beyond are refused
	// as by Down. 0: no limit.
	ReadsPerS  int `json:"reads_per_s,omitempty"`
	WritesPerS int `json:"writes_per_s,omitempty"`
	// VMLagMS delays changes of the VM list, in milliseconds.
	VMLagMS int64 `json:"vm_lag_ms,omitempty"`
	// VMFreeze keeps the VM list as it is seen now.
	VMFreeze bool `json:"vm_freeze,omitempty"`
	// CrashMarker crashes a target that begins to run a request whose body
	// holds it.
	CrashMarker string `json:"crash_marker,omitempty"`
	// RestartMS is how long a crashed target stays down, in milliseconds;
	// default 500.
	RestartMS int64 `json:"restart_ms,omitempty"`
	// Crash crashes the target now.
	Crash bool `json:"crash,omitempty"`
	// Silence makes the connections that are open now go silent.
	Silence bool `json:"silence,omitempty"`
	// FenceIgnored lets a target take calls with old fencing numbers.
	FenceIgnored bool `json:"fence_ignored,omitempty"`
}

// restart returns how long a crashed target stays down.
func (f Faults) restart() time.Duration {
	if f.RestartMS <= 0 {
		return defaultRestartMS * time.Millisecond
	}
	return time.Duration(f.RestartMS) * time.Millisecond
}

// FaultBox holds the faults in force. It is safe for concurrent use.
type FaultBox struct {
	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
}

// Set replaces the faults.
func (b *FaultBox) Set(f Faults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.reads, b.writes = newLimiter(f.ReadsPerS), newLimiter(f.WritesPerS)
}

// newLimiter returns a limiter of calls per second, nil for no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Get returns the faults in force.
func (b *FaultBox) Get() Faults {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.faults
}

// ofCall returns the fault of a call on key. Reads are never lost.
func (b *FaultBox) ofCall(write bool, key string) Fault {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch {
	case !strings.HasPrefix(key, b.faults.KeyPrefix):
		return FaultNone
	case b.faults.Down || b.exhausted(write):
		return FaultDown
	case write && take(&b.faults.RequestLost):
		return FaultRequestLost
	case write && take(&b.faults.AnswerLost):
		return FaultAnswerLost
	default:
		return FaultNone
	}
}

// exhausted reports whether the calls of this second are used up. b.mu is held.
func (b *FaultBox) exhausted(write bool) bool {
	limiter := b.reads
	if write {
		limiter = b.writes
	}
	return limiter != nil && !limiter.Allow()
}

// take reports whether a counted fault meets this call.
func take(n *int) bool {
	if *n > 0 {
		*n--
		return true
	}
	return *n == AllCalls
}

// delay waits for the time by which calls are delayed.
func (b *FaultBox) delay() {
	time.Sleep(time.Duration(b.Get().SlowMS) * time.Millisecond)
}

// FirstCalls returns a choice of faults for the SetFault of a table: the first n
// calls of op, of any kind when op is empty, meet fault.
func FirstCalls(n int, op string, fault Fault) func(op, key string) Fault {
	left := n
	return func(called, _ string) Fault {
		if left == 0 || (op != "" && called != op) {
			return FaultNone
		}
		left--
		return fault
	}
}
