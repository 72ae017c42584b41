package quarantine

import (
	"slices"
	"time"

	"github.com/mastichollow/mastichollow/internal/prompt"
)

// CrashPhase is how far the response to a request had got when its target crashed. Of two
// requests, the lower phase is the stronger evidence.
type CrashPhase uint8

// Phases of responses at a crash.
const (
	PhaseBegun   CrashPhase = iota // it had begun within CrashDelay
	PhaseWaiting                   // it had not begun
	PhaseLasting                   // it had lasted longer
	crashPhases
)

// String returns the phase's label in metrics and logs.
func (p CrashPhase) String() string { return [...]string{"begun", "waiting", "lasting"}[p] }

// Valid reports whether the phase is one of the constants.
func (p CrashPhase) Valid() bool { return p < crashPhases }

// PartClearing is the removal of evidence against a suspected part, for logs.
type PartClearing struct {
	Part    uint64
	Crashes int // removed, or no longer direct evidence
	Cause   ClearingCause
}

// ClearingCause is why the evidence against a part was removed.
type ClearingCause uint8

// Causes of clearings.
const (
	ClearedByCompletion ClearingCause = iota // a response with the part completed at this gate
	ClearedByLasting                         // one lasted for CrashDelay at this gate
	ClearedByPeer                            // either, at another gate
	ClearedByTarget                          // a target responded after its presumed crash
)

// String returns the cause's label in metrics and logs.
func (c ClearingCause) String() string {
	return [...]string{"completed", "lasted", "peer", "target_alive"}[c]
}

// maxPartClearings bounds the clearings that are not taken yet.
const maxPartClearings = 64

func (p *crashingParts) recordClearing(part uint64, crashes int, cause ClearingCause) {
	if crashes > 0 && len(p.clearings) < maxPartClearings {
		p.clearings = append(p.clearings, PartClearing{part, crashes, cause})
	}
}

// AdmittedReason is why a request was admitted although one of its parts had reached
// PartCrashLimit.
type AdmittedReason uint8

// Reasons to admit such a request.
const (
	AdmittedOtherWorkspace AdmittedReason = iota // the part is blocked for other workspaces
	AdmittedOtherParts                           // it is blocked together with parts that the request does not have
	AdmittedNotBlocked                           // its crashes do not count, are explained by others, or are too recent
	admittedReasons
)

// String returns the reason's label in metrics.
func (r AdmittedReason) String() string {
	return [...]string{"other_workspace", "other_parts", "not_blocked"}[r]
}

// recordAdmitted counts an admitted request if one of its parts has reached PartCrashLimit.
func (p *crashingParts) recordAdmitted(parts []prompt.Part) {
	if p.suspects.groups[atLimit].Len() == 0 {
		return
	}
	present := p.countMembers(parts)
	if len(present) == 0 {
		return
	}
	reason := AdmittedNotBlocked
	for i := range p.blocks {
		block := &p.blocks[i]
		switch {
		case !slices.ContainsFunc(block.groups, func(g *partGroup) bool { return present[g] > 0 }):
		case block.allPresent(present):
			reason = AdmittedOtherWorkspace
		default:
			reason = AdmittedOtherParts
		}
	}
	p.admitted[reason]++
}

// TakePresumedCrashes returns the crashes presumed since the previous call.
func (t *Tracker) TakePresumedCrashes() []PresumedCrash {
	presumed := t.presumed
	t.presumed = nil
	return presumed
}

// TakeCrashedTargets returns the IDs of the targets that are presumed to have crashed, since a
// second connection was lost, since the previous call.
func (t *Tracker) TakeCrashedTargets() []string {
	crashed := t.crashed
	t.crashed = nil
	return crashed
}

// TakePartBlockChanges returns the blocks of crashing parts that began or ended since the
// previous call, and the number of parts that are blocked.
func (t *Tracker) TakePartBlockChanges(now time.Duration) ([]PartBlockChange, int) {
	parts := t.parts
	if parts.suspects.size() > 0 || len(parts.blocks) > 0 {
		parts.computeBlocks(now)
	}
	changes := parts.changes
	parts.changes = nil
	blocked := 0
	for _, block := range parts.blocks {
		blocked += block.parts
	}
	return changes, blocked
}

// TakePartClearings returns the removals of evidence against suspected parts since the
// previous call.
func (t *Tracker) TakePartClearings() []PartClearing {
	clearings := t.parts.clearings
	t.parts.clearings = nil
	return clearings
}

// TakeAdmittedSuspects returns the number of requests that were admitted although one of their
// parts had reached the number of crashes from which parts are blocked, since the previous
// call.
func (t *Tracker) TakeAdmittedSuspects() map[AdmittedReason]int {
	admitted := make(map[AdmittedReason]int, admittedReasons)
	for reason, count := range t.parts.admitted {
		admitted[AdmittedReason(reason)] = count
	}
	t.parts.admitted = [admittedReasons]int{}
	return admitted
}

// TakeLossesInCrashes returns the number of requests that were lost in presumed crashes since
// the previous call, by how far their responses had got.
func (t *Tracker) TakeLossesInCrashes() map[CrashPhase]int {
	losses := make(map[CrashPhase]int, crashPhases)
	for phase, count := range t.lossesInCrashes {
		losses[CrashPhase(phase)] = count
	}
	t.lossesInCrashes = [crashPhases]int{}
	return losses
}

// TakeDroppedParts returns the number of parts of lost requests that were not held against them, since
// too many were lost at once, since the previous call.
func (t *Tracker) TakeDroppedParts() int {
	dropped := t.parts.dropped
	t.parts.dropped = 0
	return dropped
}

// SuspectedParts returns the number of parts that are suspected.
func (t *Tracker) SuspectedParts() int { return t.parts.suspects.size() }
