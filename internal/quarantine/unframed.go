package quarantine

import (
	"slices"
	"time"
)

// maxUnframedEnds bounds the unframed ends that are not decided yet.
const maxUnframedEnds = 1024

// unframedEnd is a response without length or chunks that ended with its connection. The end of
// its target looks the same, so it counts as complete only once the target has not been found
// to have crashed for PeerEvidenceWindow.
type unframedEnd struct {
	loss
	eventSeen bool
}

// RecordUnframedEnd records the end of a response without length or chunks. eventSeen says that an
// event of it had arrived.
func (t *Tracker) RecordUnframedEnd(now time.Duration, ended InFlight, eventSeen bool) {
	end := unframedEnd{loss{InFlight: ended, at: now}, eventSeen}
	if crash, ok := t.confirmed[end.Run]; ok && now-crash.at <= PeerEvidenceWindow {
		t.addLoss(now, &end.loss)
		t.parts.work()
		return
	}
	t.SettleUnframed(now)
	if len(t.unframed) >= maxUnframedEnds {
		t.completeUnframed(&t.unframed[0])
		t.unframed = t.unframed[1:]
	}
	t.unframed = append(t.unframed, end)
}

// SettleUnframed counts the ends as completions whose targets have not been found to have
// crashed for PeerEvidenceWindow.
func (t *Tracker) SettleUnframed(now time.Duration) {
	for len(t.unframed) > 0 && now-t.unframed[0].at > PeerEvidenceWindow {
		t.completeUnframed(&t.unframed[0])
		t.unframed = t.unframed[1:]
	}
}

func (t *Tracker) completeUnframed(end *unframedEnd) {
	t.recordRequestCompleted(end.at, end.Fingerprint)
	if end.eventSeen {
		t.parts.recordCompleted(end.at, end.Parts)
	}
}

// loseUnframed counts the ends of responses of a crashed run as losses that lie within the window
// around the time of the evidence.
func (t *Tracker) loseUnframed(now time.Duration, run TargetRun, at, window time.Duration) {
	t.unframed = slices.DeleteFunc(t.unframed, func(end unframedEnd) bool {
		if end.Run != run || (end.at-at).Abs() > window {
			return false
		}
		t.addLoss(now, &end.loss)
		return true
	})
}
