package relay

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
)

// A peer that lost the store must still serve its cached state to a gate that starts.
func TestBootstrapServesStaleState(t *testing.T) {
	p := newPair(t)
	require.Error(t, p.member.Bootstrap(context.Background(), p.addr), "the feed of the peer is empty")
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), Revision{Number: 7}, p.now(), false)
	p.feed.MarkTableUnavailable()
	p.feed.MarkTargetsUnavailable()
	p.advance(time.Minute)
	require.Error(t, p.poll(), "the peer must not serve as a relay")
	require.NoError(t, p.member.Bootstrap(context.Background(), p.addr))
	require.EqualValues(t, 3, p.view.version)
	require.Equal(t, Revision{Number: 7}, p.view.revision)
	require.Len(t, p.view.listed, 2)
	require.Equal(t, time.Minute, p.now()-p.view.asOf, "the age of the table at the peer counts")
	require.False(t, p.member.Served())
}

// A gate that follows a relay must serve the state received from it to peers that
// bootstrap, never replace it by an older one, and not act as a relay itself.
func TestBootstrapServesStateFromRelay(t *testing.T) {
	p := newPair(t)
	p.feed.SetTable(route.Edition{Version: 3}, []byte("table 3"), p.now())
	p.feed.SetTargets(instances(1), Revision{Number: 7}, p.now(), false)
	p.feed.MarkTableUnavailable()
	p.feed.MarkTargetsUnavailable()
	p.advance(time.Second)
	p.feed.CacheTable(route.Edition{Version: 5}, []byte("table 5"), p.now())
	p.feed.CacheTargets(instances(1, 2, 3), Revision{Number: 9})
	p.feed.CacheTable(route.Edition{Version: 4}, []byte("table 4"), p.now())
	p.feed.CacheTargets(instances(1), Revision{Number: 8}) // both calls are outdated
	require.NoError(t, p.member.Bootstrap(context.Background(), p.addr))
	require.EqualValues(t, 5, p.view.version)
	require.Equal(t, Revision{Number: 9}, p.view.revision)
	require.Len(t, p.view.listed, 3)
	require.Error(t, p.poll(), "cached state must not make the gate a relay")
}
