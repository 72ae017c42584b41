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
	// Fields 4 and 7 held the crashes of each part by itself; PartGroups has them now.

	// ClearedParts and OutlastedParts hold the time since a request with a part completed, and since
	// a response with it had lasted.
	ClearedParts   map[uint64]int64   `cbor:"5,keyasint,omitempty"`
	OutlastedParts map[uint64]int64   `cbor:"8,keyasint,omitempty"`
	PartGroups     []partGroupMessage `cbor:"9,keyasint,omitempty"`
	// Suspects holds, by request fingerprint, the crashes while it ran.
	Suspects map[uint64]map[int]int64 `cbor:"6,keyasint,omitempty"`
}

// partGroupMessage holds the crashes that parts of prompts have in common.
type partGroupMessage struct {
	_       struct{} `cbor:",toarray"`
	Parts   []uint64
	Crashes []partCrashMessage
}

type partCrashMessage struct {
	_          struct{} `cbor:",toarray"`
	Run        int
	AgeMillis  int64
	Phase      uint8
	Workspaces []uint32
}

// encodeCrashes returns nil if the report has no crashes.
func encodeCrashes(report *quarantine.Report) *crashMessage {
	if len(report.Crashes)+len(report.DisprovedCrashes)+len(report.SuspectParts)+len(report.ClearedParts)+len(report.OutlastedParts)+len(report.Suspects) == 0 {
		return nil
	}
	m := &crashMessage{
		ClearedParts: make(map[uint64]int64, len(report.ClearedParts)), OutlastedParts: make(map[uint64]int64, len(report.OutlastedParts)),
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
	groups := make(map[*quarantine.PartCrash]int) // by the first crash of a list, which many parts share
	for part, crashes := range report.SuspectParts {
		if len(crashes) == 0 {
			continue
		}
		group, known := groups[&crashes[0]]
		if !known {
			group = len(m.PartGroups)
			groups[&crashes[0]] = group
			m.PartGroups = append(m.PartGroups, partGroupMessage{Crashes: encodePartCrashes(crashes, indexOf)})
		}
		m.PartGroups[group].Parts = append(m.PartGroups[group].Parts, part)
	}
	for part, age := range report.ClearedParts {
		m.ClearedParts[part] = age.Milliseconds()
	}
	for part, age := range report.OutlastedParts {
		m.OutlastedParts[part] = age.Milliseconds()
	}
	return m
}

func encodePartCrashes(crashes []quarantine.PartCrash, indexOf func(quarantine.TargetRun) int) []partCrashMessage {
	encoded := make([]partCrashMessage, len(crashes))
	for i, crash := range crashes {
		encoded[i] = partCrashMessage{Run: indexOf(crash.Run), AgeMillis: crash.At.Milliseconds(), Phase: uint8(crash.Phase)}
		for _, workspace := range crash.Workspaces {
			encoded[i].Workspaces = append(encoded[i].Workspaces, uint32(workspace))
		}
	}
	return encoded
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
	report.SuspectParts = make(map[uint64][]quarantine.PartCrash)
	for i := range m.PartGroups {
		crashes := m.decodePartCrashes(m.PartGroups[i].Crashes)
		for _, part := range m.PartGroups[i].Parts {
			if len(crashes) > 0 {
				report.SuspectParts[part] = crashes
			}
		}
	}
	report.ClearedParts, report.OutlastedParts = decodePartAges(m.ClearedParts), decodePartAges(m.OutlastedParts)
}

// decodePartCrashes returns the crashes that parts have in common.
func (m *crashMessage) decodePartCrashes(encoded []partCrashMessage) []quarantine.PartCrash {
	var crashes []quarantine.PartCrash
	for i := range encoded {
		run, ok := m.run(encoded[i].Run)
		phase := quarantine.CrashPhase(encoded[i].Phase)
		if !ok || !phase.Valid() {
			continue
		}
		crash := quarantine.PartCrash{Run: run, At: decodeAge(encoded[i].AgeMillis), Phase: phase}
		for _, workspace := range encoded[i].Workspaces {
			crash.Workspaces = append(crash.Workspaces, quarantine.WorkspaceID(workspace))
		}
		crashes = append(crashes, crash)
	}
	return crashes
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
