package agent

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/wire"
)

func limitHeader(text string) http.Header { return http.Header{"Mastichollow-Request-Limit": {text}} }

// playLimited offers a request every 20 ms to a scheduler whose target answers at once with the
// header that answer returns, and returns when each was sent.
func playLimited(length time.Duration, answer func(now time.Duration) http.Header) []time.Duration {
	m := newMachine()
	start := time.Now()
	var sent []time.Duration
	for n := 0; time.Since(start) < length; n++ {
		at := newAttempt(context.Background(), &wire.Offer{Attempt: request.AttemptID(fmt.Sprint(n)), Workspace: 1}, 1, time.Now())
		_, _, _ = m.s.enqueue(at, 5) // a full queue refuses
		m.attempts = append(m.attempts, at)
		for _, granted := range m.lockedInPhase(phaseGranted) {
			m.s.stage(granted, &wire.Run{}, 1)
		}
		for _, running := range m.lockedInPhase(phaseRunning) {
			now := time.Since(start)
			sent = append(sent, now)
			m.s.recordRequestLimit(running, answer(now))
			m.s.finish(running, true)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return sent
}

// lockedInPhase is inPhase beside the timer of the limit.
func (m *machine) lockedInPhase(p phase) []*attempt {
	m.s.mu.Lock()
	defer m.s.mu.Unlock()
	return m.inPhase(p)
}

func countBetween(sent []time.Duration, from, to time.Duration) int {
	count := 0
	for _, at := range sent {
		if at >= from && at < to {
			count++
		}
	}
	return count
}

func TestAgentStaysWithinRequestLimit(t *testing.T) {
	for _, limit := range []float64{0, 0.5, 3, 20} {
		synctest.Test(t, func(t *testing.T) {
			sent := playLimited(30*time.Second, func(now time.Duration) http.Header {
				if now < 20*time.Second {
					return limitHeader(fmt.Sprint(limit))
				}
				return nil
			})
			for from := 3 * time.Second; from < 16*time.Second; from += 100 * time.Millisecond {
				require.LessOrEqual(t, float64(countBetween(sent, from, from+4*time.Second)), 1.5*limit*4+5, "limit %f", limit)
			}
			require.GreaterOrEqual(t, countBetween(sent, 4*time.Second, 20*time.Second), int(0.8*16*limit), "limit %f", limit)
			require.Greater(t, countBetween(sent, 26*time.Second, 30*time.Second), 150, "the limit has ended")
		})
	}
}

func TestAgentIgnoresOddRequestLimits(t *testing.T) {
	for _, odd := range []string{"-1", "NaN", "Inf", "many", "1e999"} {
		synctest.Test(t, func(t *testing.T) {
			sent := playLimited(4*time.Second, func(time.Duration) http.Header { return limitHeader(odd) })
			require.Greater(t, len(sent), 150, "limit %s", odd)
		})
	}
}

func TestAgentReportsNoFreeSlotsBeyondRequestLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMachine()
		require.Positive(t, m.s.report("p").Free)
		at := newAttempt(context.Background(), &wire.Offer{Attempt: "a", Workspace: 1}, 1, time.Now())
		at.startedAt = time.Now()
		m.s.recordRequestLimit(at, limitHeader("1"))
		require.Zero(t, m.s.report("p").Free)
		time.Sleep(time.Second)
		require.Positive(t, m.s.report("p").Free)
	})
}
