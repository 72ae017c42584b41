package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/target"
)

func evacuated(revision int64, domains ...string) target.EvacuationList {
	return target.EvacuationList{Domains: domains, Era: 1, Revision: revision}
}

// Members read no evacuations from the store: a change must end their pending polls, also if
// neither table nor targets change.
func TestEvacuationEndsPendingPoll(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), Revision{Number: 7}, p.now(), false)
	require.NoError(t, p.poll())
	for revision, domains := range [][]string{{"a"}, {"a", "b"}, nil} {
		done := make(chan error, 1)
		go func() { done <- p.poll() }()
		select {
		case err := <-done:
			t.Fatalf("poll returned without a change: %v", err)
		case <-time.After(50 * time.Millisecond):
		}
		p.feed.SetEvacuations(evacuated(int64(revision), domains...))
		require.NoError(t, <-done)
		require.Equal(t, evacuated(int64(revision), domains...), p.view.evacuations)
	}
}

// A gate that starts while the store is down must know the evacuations of its peers, whatever
// their age.
func TestBootstrapServesEvacuations(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), Revision{Number: 7}, p.now(), false)
	list := evacuated(4, "a")
	list.Held = map[string]time.Duration{"b": 5 * time.Second, "c": time.Second}
	p.feed.SetEvacuations(list)
	p.feed.MarkTableUnavailable()
	p.feed.MarkTargetsUnavailable()
	p.advance(2 * time.Second)
	require.NoError(t, p.member.Bootstrap(context.Background(), p.addr))
	list.Held = map[string]time.Duration{"b": 3 * time.Second}
	require.Equal(t, list, p.view.evacuations)
}

// An old response is no proof of the table, but its evacuations are at worst no longer needed.
func TestEvacuationsOfOldResponseApplied(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1), Revision{Number: 7}, p.now(), false)
	p.feed.SetEvacuations(evacuated(4, "a"))
	p.beforeResponse = func() { p.advance(5 * time.Second) }
	require.Error(t, p.poll())
	require.Equal(t, evacuated(4, "a"), p.view.evacuations)
}
