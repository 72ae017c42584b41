package peers

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/quarantine"
)

// crashMessage is the wire format of what a gate knows of crashes of targets. Runs of
// targets are indexes into Runs, times are the milliseconds since.
type crashMessage struct {
	Runs      []string      `cbor:"1,keyasint,omitempty"`
	Crashes   map[int]int64 `cbor:"2,keyasint,omitempty"`
	Disproved map[int]int64 `cbor:"3,keyasint,omitempty"`
	// SuspectParts holds the crashes of parts of prompts, by part hash.
	SuspectParts map[uint64][]partCrashMessage `cbor:"4,keyasint,omitempty"`
	ClearedParts map[uint64]int64              `cbor:"5,keyasint,omitempty"`
	// LastingParts holds the crashes of parts that are no direct evidence, and OutlastedParts the
	// time since responses with the part had lasted. Gates of earlier builds ignore both and
	// suspect the parts less.
	LastingParts   map[uint64][]partCrashMessage `cbor:"7,keyasint,omitempty"`
	OutlastedParts map[uint64]int64              `cbor:"8,keyasint,omitempty"`
	// Suspects holds, by request fingerprint, the crashes while it ran.
	Suspects map[uint64]map[int]int64 `cbor:"6,keyasint,omitempty"`
}

type partCrashMessage struct {
	_          struct{} `cbor:",toarray"`
	Run        int
	AgeMillis  int64
	Waiting    bool
	Workspaces []uint32
}

// encodeCrashes returns nil if the report has no crashes.
func encodeCrashes(report *quarantine.Report) *crashMessage {
	if len(report.Crashes)+len(report.DisprovedCrashes)+len(report.SuspectParts)+len(report.ClearedParts)+len(report.OutlastedParts)+len(report.Suspects) == 0 {
		return nil
	}
	m := &crashMessage{
		SuspectParts: make(map[uint64][]partCrashMessage, len(report.SuspectParts)), ClearedParts: make(map[uint64]int64, len(report.ClearedParts)),
		LastingParts: make(map[uint64][]partCrashMessage), OutlastedParts: make(map[uint64]int64, len(report.OutlastedParts)),
		Suspects: make(map[uint64]map[int]int64, len(report.Suspects)),
	}
	indexes := make(map[quarantine.TargetRun]int)
	indexOf := func(run quarantine.TargetRun) int {
		index, known := indexes[run]
		if !known {
			index = len(m.Runs)
			indexes[run] = index
			m.Runs = append(m.Runs, string(run))
		}
		return index
	}
	encodeAges := func(ages map[quarantine.TargetRun]time.Duration) map[int]int64 {
		encoded := make(map[int]int64, len(ages))
		for run, age := range ages {
			encoded[indexOf(run)] = age.Milliseconds()
		}
		return encoded
	}
	m.Crashes, m.Disproved = encodeAges(report.Crashes), encodeAges(report.DisprovedCrashes)
	for f, runs := range report.Suspects {
		m.Suspects[uint64(f)] = encodeAges(runs)
	}
	for part, crashes := range report.SuspectParts {
		for _, crash := range crashes {
			encoded := partCrashMessage{Run: indexOf(crash.Run), AgeMillis: crash.At.Milliseconds(), Waiting: crash.Phase == quarantine.PhaseWaiting}
			for _, workspace := range crash.Workspaces {
				encoded.Workspaces = append(encoded.Workspaces, uint32(workspace))
			}
			crashes := m.SuspectParts
			if crash.Phase == quarantine.PhaseLasting {
				crashes = m.LastingParts
			}
			crashes[part] = append(crashes[part], encoded)
		}
	}
	for part, age := range report.ClearedParts {
		m.ClearedParts[part] = age.Milliseconds()
	}
	for part, age := range report.OutlastedParts {
		m.OutlastedParts[part] = age.Milliseconds()
	}
	return m
}

// decodeInto adds the crashes to a report. Entries that name no run of the message are
// left out.
func (m *crashMessage) decodeInto(report *quarantine.Report) {
	if m == nil {
		return
	}
	report.Crashes, report.DisprovedCrashes = m.decodeAges(m.Crashes), m.decodeAges(m.Disproved)
	report.Suspects = make(map[quarantine.Fingerprint]map[quarantine.TargetRun]time.Duration, len(m.Suspects))
	for f, runs := range m.Suspects {
		report.Suspects[quarantine.Fingerprint(f)] = m.decodeAges(runs)
	}
	report.SuspectParts = make(map[uint64][]quarantine.PartCrash, len(m.SuspectParts))
	m.decodeParts(report.SuspectParts, m.SuspectParts, func(encoded *partCrashMessage) quarantine.CrashPhase {
		if encoded.Waiting {
			return quarantine.PhaseWaiting
		}
		return quarantine.PhaseBegun
	})
	m.decodeParts(report.SuspectParts, m.LastingParts, func(*partCrashMessage) quarantine.CrashPhase { return quarantine.PhaseLasting })
	report.ClearedParts, report.OutlastedParts = decodePartAges(m.ClearedParts), decodePartAges(m.OutlastedParts)
}

// decodeParts adds the crashes of parts to decoded.
func (m *crashMessage) decodeParts(decoded map[uint64][]quarantine.PartCrash, parts map[uint64][]partCrashMessage, phase func(*partCrashMessage) quarantine.CrashPhase) {
	for part, crashes := range parts {
		for i := range crashes {
			run, ok := m.run(crashes[i].Run)
			if !ok {
				continue
			}
			crash := quarantine.PartCrash{Run: run, At: decodeAge(crashes[i].AgeMillis), Phase: phase(&crashes[i])}
			for _, workspace := range crashes[i].Workspaces {
				crash.Workspaces = append(crash.Workspaces, quarantine.WorkspaceID(workspace))
			}
			decoded[part] = append(decoded[part], crash)
		}
	}
}

func decodePartAges(encoded map[uint64]int64) map[uint64]time.Duration {
	ages := make(map[uint64]time.Duration, len(encoded))
	for part, age := range encoded {
		ages[part] = decodeAge(age)
	}
	return ages
}

func (m *crashMessage) decodeAges(encoded map[int]int64) map[quarantine.TargetRun]time.Duration {
	ages := make(map[quarantine.TargetRun]time.Duration, len(encoded))
	for index, age := range encoded {
		if run, ok := m.run(index); ok {
			ages[run] = decodeAge(age)
		}
	}
	return ages
}

func (m *crashMessage) run(index int) (quarantine.TargetRun, bool) {
	if index < 0 || index >= len(m.Runs) {
		return "", false
	}
	return quarantine.TargetRun(m.Runs[index]), true
}

func decodeAge(millis int64) time.Duration { return max(0, time.Duration(millis)*time.Millisecond) }
