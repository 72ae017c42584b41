package admission

import (
	"slices"
	"time"
)

// maxUnframedEnds bounds the unframed ends that are not decided yet.
const maxUnframedEnds = 1024

// unframedEnd is a response without length or chunks that ended with its connection. The end of
// its target looks the same, so it counts as complete only once the target has not been found
// to have crashed for peerEvidenceWindow.
type unframedEnd struct {
	loss
	eventSeen bool
}

// recordUnframedEnd records the end of a response without length or chunks.
func (s *suspects) recordUnframedEnd(now time.Duration, end unframedEnd) {
	if crash, ok := s.confirmed[end.run]; ok && now-crash.at <= peerEvidenceWindow {
		s.addLoss(now, &end.loss)
		return
	}
	s.settleUnframed(now)
	if len(s.unframed) >= maxUnframedEnds {
		s.completeUnframed(&s.unframed[0])
		s.unframed = s.unframed[1:]
	}
	s.unframed = append(s.unframed, end)
}

// settleUnframed counts the ends as completions whose targets have not been found to have
// crashed for peerEvidenceWindow.
func (s *suspects) settleUnframed(now time.Duration) {
	for len(s.unframed) > 0 && now-s.unframed[0].at > peerEvidenceWindow {
		s.completeUnframed(&s.unframed[0])
		s.unframed = s.unframed[1:]
	}
}

func (s *suspects) completeUnframed(end *unframedEnd) {
	s.recordCompleted(end.at, end.fingerprint)
	if end.eventSeen {
		s.parts.recordCompleted(end.at, end.parts)
	}
}

// loseUnframed counts the ends of responses of a crashed run as losses that lie within the window
// around the time of the evidence.
func (s *suspects) loseUnframed(now time.Duration, run TargetRun, at, window time.Duration) {
	s.unframed = slices.DeleteFunc(s.unframed, func(end unframedEnd) bool {
		if end.run != run || (end.at-at).Abs() > window {
			return false
		}
		s.addLoss(now, &end.loss)
		return true
	})
}
