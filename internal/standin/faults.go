package standin

import (
	"strings"
	"sync"
	"time"

	"golang.org/x/time/rate"
)

// AllCalls makes a counted fault apply to every call.
const AllCalls = -1

// defaultRestartMS is the default downtime of a crashed target, in milliseconds.
const defaultRestartMS = 500

// Faults are the faults injected into a stand-in. The zero value has none.
type Faults struct {
	// Down refuses calls with status 503, without effect.
	Down bool `json:"down,omitempty"`
	// SlowMS delays each call before its effect, in milliseconds. The call takes effect
	// also when its caller has closed the connection meanwhile.
	SlowMS int64 `json:"slow_ms,omitempty"`
	// ResponseLost closes the connection after the effect of the next n writes, or of all
	// writes (AllCalls).
	ResponseLost int `json:"answer_lost,omitempty"`
	// RequestLost closes the connection without effect for the next n writes, or for all
	// writes (AllCalls).
	RequestLost int `json:"request_lost,omitempty"`
	// KeyPrefix limits Down, ResponseLost and RequestLost of the table service
	// and the object store to keys with this prefix.
	KeyPrefix string `json:"key_prefix,omitempty"`
	// ReadsPerS and WritesPerS limit the calls per second of the table service and the
	// object store. Calls above the limit are refused as by Down. 0: no limit.
	ReadsPerS  int `json:"reads_per_s,omitempty"`
	WritesPerS int `json:"writes_per_s,omitempty"`
	// VMLagMS delays changes of the VM list, in milliseconds.
	VMLagMS int64 `json:"vm_lag_ms,omitempty"`
	// VMFreeze stops updates of the VM list that clients see.
	VMFreeze bool `json:"vm_freeze,omitempty"`
	// CrashMarker crashes a target when it begins to execute a request whose body contains
	// this text.
	CrashMarker string `json:"crash_marker,omitempty"`
	// RestartMS is the downtime of a crashed target, in milliseconds; default 500.
	RestartMS int64 `json:"restart_ms,omitempty"`
	// Crash crashes the stand-in when the faults are set.
	Crash bool `json:"crash,omitempty"`
	// Blackhole drops all further bytes of the connections that are open when the faults
	// are set, without closing them.
	Blackhole bool `json:"silence,omitempty"`
	// FenceIgnored makes a target accept calls with old fencing numbers.
	FenceIgnored bool `json:"fence_ignored,omitempty"`
}

// restartDuration returns the downtime of a crashed target.
func (f Faults) restartDuration() time.Duration {
	if f.RestartMS <= 0 {
		return defaultRestartMS * time.Millisecond
	}
	return time.Duration(f.RestartMS) * time.Millisecond
}

// FaultState holds the active faults of a stand-in. It is safe for concurrent use.
type FaultState struct {
	mu     sync.Mutex
	faults Faults
	reads  *rate.Limiter
	writes *rate.Limiter
}

// Set replaces the active faults.
func (s *FaultState) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.reads, s.writes = newLimiter(f.ReadsPerS), newLimiter(f.WritesPerS)
}

// newLimiter returns a limiter of calls per second; nil means no limit.
func newLimiter(perSecond int) *rate.Limiter {
	if perSecond <= 0 {
		return nil
	}
	return rate.NewLimiter(rate.Limit(perSecond), perSecond)
}

// Get returns the active faults.
func (s *FaultState) Get() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// callFault returns the fault that applies to a call on key. Only writes can be lost.
func (s *FaultState) callFault(write bool, key string) Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !strings.HasPrefix(key, s.faults.KeyPrefix):
		return FaultNone
	case s.faults.Down || s.rateExceeded(write):
		return FaultDown
	case write && consumeFault(&s.faults.RequestLost):
		return FaultRequestLost
	case write && consumeFault(&s.faults.ResponseLost):
		return FaultResponseLost
	default:
		return FaultNone
	}
}

// rateExceeded reports whether a call exceeds the limit of calls per second. b.mu is held.
func (s *FaultState) rateExceeded(write bool) bool {
	limiter := s.reads
	if write {
		limiter = s.writes
	}
	return limiter != nil && !limiter.Allow()
}

// consumeFault reports whether a counted fault applies to this call, and counts it.
func consumeFault(remaining *int) bool {
	if *remaining > 0 {
		*remaining--
		return true
	}
	return *remaining == AllCalls
}

// delayCall waits for the configured delay of calls.
func (s *FaultState) delayCall() {
	time.Sleep(time.Duration(s.Get().SlowMS) * time.Millisecond)
}

// FailFirstCalls returns a function for Table.SetFault that applies fault to the first n
// calls of op; an empty op stands for all operations.
func FailFirstCalls(n int, op string, fault Fault) func(op, key string) Fault {
	remaining := n
	return func(calledOp, _ string) Fault {
		if remaining == 0 || (op != "" && calledOp != op) {
			return FaultNone
		}
		remaining--
		return fault
	}
}
