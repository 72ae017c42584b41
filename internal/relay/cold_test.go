package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

// Members get the remaining cold time, on their own clock: one that takes the time of the entry
// again would treat the target as cold for too long, one that loses it as warm.
func TestColdTimeCarried(t *testing.T) {
	for name, fetch := range map[string]func(p *pair) error{
		"poll":      func(p *pair) error { return p.poll() },
		"bootstrap": func(p *pair) error { return p.member.Bootstrap(context.Background(), p.addr) },
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.member.config.Steady = func() time.Duration { return p.now() - 59*time.Minute } // started later
			p.setTable(3)
			listed := instances(1, 2, 3, 4)
			listed[0].ColdReported, listed[0].ReportedColdUntil = true, p.now()+10*time.Second
			listed[1].ColdReported, listed[1].ReportedColdUntil = true, p.now()+time.Second
			listed[2].ColdReported = true
			p.feed.SetTargets(listed, Revision{Number: 7}, p.now(), false)
			p.advance(1500 * time.Millisecond)
			require.NoError(t, fetch(p))
			reported := func(id string) target.Instance { return p.view.listed[id] }
			require.Equal(t, p.now()-59*time.Minute+8500*time.Millisecond, reported("t1").ReportedColdUntil)
			for _, id := range []string{"t1", "t2", "t3"} {
				require.True(t, reported(id).ColdReported, id)
			}
			require.Zero(t, reported("t2").ReportedColdUntil)
			require.Zero(t, reported("t3").ReportedColdUntil)
			require.False(t, reported("t4").ColdReported)
		})
	}
}

// A target that becomes cold again must be known to members at once.
func TestColdAgainEndsPendingPoll(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	listed := instances(1)
	listed[0].ColdReported = true
	p.feed.SetTargets(listed, Revision{Number: 7}, p.now(), false)
	require.NoError(t, p.poll())
	done := make(chan error, 1)
	go func() { done <- p.poll() }()
	time.Sleep(20 * time.Millisecond)
	cold := instances(1)
	cold[0].ColdReported, cold[0].ReportedColdUntil = true, p.now()+time.Second
	p.feed.SetTargets(cold, Revision{Number: 8}, p.now(), false)
	require.NoError(t, <-done)
	require.Equal(t, p.now()+time.Second, p.view.listed["t1"].ReportedColdUntil)
}
