package admission

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/request"
)

const (
	documents     = 600
	documentParts = 1300
	// contactTime is the time after the fifth crash from which the platform bounds the requests with
	// the part that reach targets.
	contactTime = 3 * time.Second
)

// document returns the parts of the n-th document.
func document(n int) []prompt.Part {
	parts := make([]prompt.Part, documentParts)
	for i := range parts {
		parts[i] = prompt.Part{Hash: uint64((n%documents+1)<<16 + i), Tokens: 9}
	}
	return parts
}

// sendDocument sends a request on a document, with further parts at a position.
func (l *crashLab) sendDocument(gate, n, position int, further ...uint64) Decision {
	l.sent++
	r := letterRequest("w", 0, l.sent)
	r.FirstTokenObjective = 0
	r.Parts = document(n)
	for _, hash := range further {
		r.Parts = slices.Insert(r.Parts, position, prompt.Part{Hash: hash, Tokens: 9})
	}
	r.Parts = append(r.Parts, prompt.Part{Hash: uint64(1<<40 + l.sent), Tokens: 9})
	r.PromptTokens = 9 * len(r.Parts)
	return l.gates[gate].Admit(l.clock(gate), r, l.engines)
}

// crashDocument has a request with the part crash an engine that runs sound requests on other
// documents, and reports whether it was admitted.
func (l *crashLab) crashDocument(t *testing.T, gate, n, position int, part uint64) bool {
	t.Helper()
	all := l.engines
	l.engines = all[len(all)-1:] // all go to the same engine
	crashing := l.sendDocument(gate, n, position, part)
	var beside []Decision
	if crashing.Lease != nil {
		for i := range 4 {
			d := l.sendDocument((gate+i)%len(l.gates), n+100+i, position)
			require.NotNil(t, d.Lease, d.Refused)
			beside = append(beside, d)
		}
	}
	l.engines = all
	if crashing.Lease == nil {
		require.Equal(t, request.ReasonQuarantined, crashing.Refused)
		return false
	}
	crashing.Lease.Responded(l.clock(gate))
	for i, d := range beside {
		if i%2 == 0 {
			d.Lease.Responded(l.clock((gate + i) % len(l.gates)))
		}
	}
	l.now += 20 * time.Millisecond
	crashing.Lease.End(l.clock(gate), ResultLost, all)
	for i, d := range beside {
		d.Lease.End(l.clock((gate+i)%len(l.gates)), ResultLost, all)
	}
	for i := range l.gates {
		l.gates[i].RecordRefused(l.clock(i)+20*time.Millisecond, &crashing.Target)
	}
	l.engines = removeID(all, crashing.Target.ID)
	l.start()
	return true
}

// Guards against a part that crashes targets again and again, since the evidence against it is
// evicted by that against the other parts of long prompts.
func TestCrashingPartOfLongPromptsBlocked(t *testing.T) {
	for _, gates := range []int{1, 2, 6, 22} {
		for _, position := range []int{0, documentParts / 2, documentParts} {
			for _, part := range []uint64{1, 1 << 62} { // below and above the hashes of other parts
				t.Run(fmt.Sprintf("%d gates, position %d, part %x", gates, position, part), func(t *testing.T) {
					t.Parallel()
					lab := newCrashLab(gates)
					round := func(n int) bool {
						admitted := lab.crashDocument(t, n%gates, 7*n, position, part)
						for i := range 3 { // sound requests that complete, 0.6 s in all
							if d := lab.sendDocument((n+i)%gates, 7*n+100+i, position); d.Lease != nil {
								d.Lease.Began(lab.clock((n + i) % gates))
								d.Lease.End(lab.clock((n+i)%gates), ResultDone, lab.engines)
							}
							lab.exchange(200 * time.Millisecond)
						}
						return admitted
					}
					for n := range quarantine.PartCrashBound {
						if !round(n) {
							break
						}
					}
					for lab.now < 5*time.Second+contactTime {
						lab.exchange(200 * time.Millisecond)
					}
					for gate := range gates {
						require.False(t, round(1000+gate), "gate %d", gate)
						d := lab.sendDocument(gate, 300, position)
						require.NotNil(t, d.Lease, "a sound request at gate %d: %s", gate, d.Refused)
						d.Lease.End(lab.clock(gate), ResultDone, lab.engines)
					}
				})
			}
		}
	}
}
