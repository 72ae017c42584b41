package relay

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	_ "github.com/mastichollow/mastichollow/internal/fixedseed"
	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
)

// recordingView is a View that records the last values applied.
type recordingView struct {
	version     int64
	asOf        time.Duration
	listed      map[string]target.Instance
	revision    Revision
	recovered   Revision
	evacuations target.EvacuationList
}

func (v *recordingView) TableEdition() route.Edition { return route.Edition{Version: v.version} }

func (v *recordingView) ApplyTable(data []byte, _ int64, asOf time.Duration) error {
	if len(data) > 0 {
		if _, err := fmt.Sscanf(string(data), "table %d", &v.version); err != nil {
			return err
		}
	}
	v.asOf = asOf
	return nil
}

func (v *recordingView) ApplyTargets(listed []target.Instance, revision, recovered Revision) {
	v.listed = make(map[string]target.Instance)
	for _, in := range listed {
		v.listed[in.ID] = in
	}
	v.revision, v.recovered = revision, recovered
}

func (v *recordingView) ApplyEvacuations(list target.EvacuationList) { v.evacuations = list }

// pair is a relay and a member with a common clock.
type pair struct {
	mu      sync.Mutex
	elapsed time.Duration
	feed    *Feed
	member  *Member
	view    *recordingView
	addr    netip.AddrPort
	// beforeRequest runs before the feed gets a request, beforeResponse before the response
	// is sent.
	beforeRequest, beforeResponse func()
}

func (p *pair) now() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.elapsed
}

func (p *pair) advance(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.elapsed += d
}

func newPair(t testing.TB) *pair {
	p := &pair{view: &recordingView{}, beforeRequest: func() {}, beforeResponse: func() {}, elapsed: time.Hour}
	p.feed = NewFeed(1, p.now)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.beforeRequest()
		rec := httptest.NewRecorder()
		p.feed.ServeHTTP(rec, r)
		p.beforeResponse()
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	p.addr = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	p.member = NewMember(Config{
		Candidates: func() []netip.AddrPort { return []netip.AddrPort{p.addr} },
		View:       p.view, Now: p.now, Log: hclog.NewNullLogger(),
	}, prometheus.NewRegistry())
	return p
}

func (p *pair) setTable(version int64) {
	p.feed.SetTable(route.Edition{Version: version}, fmt.Appendf(nil, "table %d", version), p.now())
}

func (p *pair) poll() error { return p.member.poll(context.Background(), p.addr) }

func instances(ids ...int) []target.Instance {
	var all []target.Instance
	for _, id := range ids {
		all = append(all, target.Instance{ID: fmt.Sprint("t", id), Addr: "10.0.0.1:1", Service: "s", Slots: 4, StartedMillis: int64(id)})
	}
	return all
}

func TestMemberReceivesRelayState(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), Revision{Number: 7}, p.now(), false)
	require.NoError(t, p.poll())
	require.True(t, p.member.Served())
	require.EqualValues(t, 3, p.view.version)
	require.Equal(t, Revision{Number: 7}, p.view.revision)
	require.Len(t, p.view.listed, 2)
	require.Zero(t, p.view.recovered)
}

func TestPollReturnsOnChange(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), Revision{Number: 7}, p.now(), false)
	require.NoError(t, p.poll())
	done := make(chan error, 1)
	go func() { done <- p.poll() }()
	select {
	case err := <-done:
		t.Fatalf("poll returned without a change: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	p.feed.SetTargets(instances(1), Revision{Number: 8}, p.now(), false)
	require.NoError(t, <-done)
	require.Len(t, p.view.listed, 1)
}

// The age of a table at the member must not be below its true age, whatever the network
// latency is and wherever the relay was paused. A member with too low an age would accept
// revoked keys for too long.
func TestTableAgeNeverUnderestimated(t *testing.T) {
	for name, c := range map[string]struct{ before, after, age time.Duration }{
		"no delay":                          {0, 0, 300 * time.Millisecond},
		"slow request":                      {400 * time.Millisecond, 0, 300 * time.Millisecond},
		"relay paused before response":      {0, 700 * time.Millisecond, 300 * time.Millisecond},
		"slow request and paused relay":     {400 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond},
		"relay paused beyond the age limit": {0, 5 * time.Second, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			newest := p.now()
			p.setTable(3)
			p.feed.SetTargets(instances(1), Revision{Number: 7}, p.now(), false)
			p.advance(c.age)
			p.beforeRequest = func() { p.advance(c.before) }
			p.beforeResponse = func() { p.advance(c.after) }
			if err := p.poll(); err != nil {
				require.Equal(t, "relay paused beyond the age limit", name, "%v", err)
				require.False(t, p.member.Served())
				return
			}
			require.LessOrEqual(t, p.view.asOf, newest, "asOf must not be later than the confirmation")
			require.Greater(t, p.view.asOf, newest-time.Second, "asOf must not be much earlier than the confirmation")
		})
	}
}

func TestRelayWithStaleStateRefuses(t *testing.T) {
	immediate := []string{"no table", "table unavailable", "targets unavailable"}
	for name, makeStale := range map[string]func(*pair){
		"no table":            func(p *pair) { p.feed = NewFeed(2, p.now) },
		"table unavailable":   func(p *pair) { p.feed.MarkTableUnavailable() },
		"targets unavailable": func(p *pair) { p.feed.MarkTargetsUnavailable() },
		"old table": func(p *pair) {
			p.advance(maxTableAge + time.Millisecond)
			p.feed.SetTargets(instances(1), Revision{Number: 8}, p.now(), false)
		},
		"old target list": func(p *pair) {
			p.advance(maxTargetsAge + time.Millisecond)
			p.feed.SetTable(route.Edition{Version: 3}, nil, p.now())
		},
		"no update for a minute": func(p *pair) { p.advance(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			p.setTable(3)
			p.feed.SetTargets(instances(1), Revision{Number: 7}, p.now(), false)
			require.NoError(t, p.poll())
			makeStale(p)
			start := time.Now()
			require.Error(t, p.poll())
			maxDuration := longPollTimeout + responseMargin + 500*time.Millisecond
			if slices.Contains(immediate, name) {
				maxDuration = longPollTimeout / 2
			}
			require.Less(t, time.Since(start), maxDuration)
		})
	}
}

// Guards against members that leave their relay, and all call the store, because nothing
// changed during a long poll. A relay whose state is still recent answers it as "no change",
// which is no confirmation of the table.
func TestTimedOutPollKeepsMemberServed(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.setTable(3)
	newest := p.now()
	p.feed.SetTargets(instances(1), Revision{Number: 7}, p.now(), false)
	require.NoError(t, p.poll())
	p.advance(maxTargetsAge / 2)
	require.NoError(t, p.poll())
	require.True(t, p.member.Served())
	require.LessOrEqual(t, p.view.asOf, newest, "asOf must not be later than the confirmation")
	require.Len(t, p.view.listed, 1)

	p.setTable(4)
	require.NoError(t, p.poll())
	require.EqualValues(t, 4, p.view.version)
}

// Guards against members that stay with a relay whose state grows too old after a poll that
// timed out: keys and targets may have been removed since.
func TestMemberLeavesRelayOnceStateIsTooOld(t *testing.T) {
	t.Parallel()
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1), Revision{Number: 7}, p.now(), false)
	require.NoError(t, p.poll())
	p.advance(longPollTimeout)
	require.NoError(t, p.poll())
	start := time.Now()
	timer := time.AfterFunc(20*time.Millisecond, func() { p.advance(maxTargetsAge - longPollTimeout + time.Millisecond) })
	defer timer.Stop()
	require.Error(t, p.poll())
	require.Less(t, time.Since(start), longPollTimeout, "no later than the state is too old")
}

// Guards against an outage that members date by when the response arrives: a poll waits for up to
// longPollTimeout, so an outage that lies before the member's list would seem to come after it.
func TestMemberReceivesPositionOfStoreRecovery(t *testing.T) {
	for name, c := range map[string]struct {
		outage      time.Duration
		reconnected bool
		recovered   Revision
	}{
		"no outage":                         {time.Second, false, Revision{}},
		"too short for entries to expire":   {target.MinExpiryOutage - time.Millisecond, true, Revision{}},
		"entries may have expired":          {target.MinExpiryOutage, true, Revision{Number: 8}},
		"relay suspended, store not lost":   {time.Minute, false, Revision{}},
		"entries may have expired for long": {time.Minute, true, Revision{Number: 8}},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			p.setTable(3)
			p.feed.SetTargets(instances(1, 2), Revision{Number: 7}, p.now(), false)
			p.advance(c.outage)
			p.setTable(3)
			p.feed.SetTargets(instances(1, 2), Revision{Number: 8}, p.now(), c.reconnected)
			require.NoError(t, p.poll())
			require.Equal(t, c.recovered, p.view.recovered)
			for revision := int64(9); revision < 12; revision++ {
				p.beforeResponse = func() { p.advance(time.Second) } // a poll that waits
				p.setTable(3)
				p.feed.SetTargets(instances(1), Revision{Number: revision}, p.now(), false)
				require.NoError(t, p.poll())
				require.Equal(t, c.recovered, p.view.recovered, "the outage is not newer than the list before it")
			}
		})
	}
}

// Members that miss any number of changes, also across a restart of the relay, must end
// with the relay's target list.
func TestIncrementalChangesConverge(t *testing.T) {
	server := newPair(t)
	rapid.Check(t, func(t *rapid.T) {
		p := server
		p.feed = NewFeed(rapid.Int64Range(1, 1<<40).Draw(t, "epoch"), p.now)
		p.member.relay = netip.AddrPort{}
		revision := int64(0)
		for range rapid.IntRange(1, 12).Draw(t, "rounds") {
			for range rapid.IntRange(1, 4).Draw(t, "updates") {
				revision++
				listed := instances(rapid.SliceOfNDistinct(rapid.IntRange(0, 9), 0, 8, rapid.ID).Draw(t, "listed")...)
				for i := range listed {
					listed[i].Draining = rapid.Bool().Draw(t, "draining")
				}
				p.feed.SetTargets(listed, Revision{Number: revision}, p.now(), false)
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				p.feed.epoch++
			}
			p.setTable(3)
			require.NoError(t, p.poll())
			require.Len(t, p.view.listed, len(p.feed.targets))
			for id, e := range p.feed.targets {
				require.Equal(t, e.instance, p.view.listed[id])
			}
		}
	})
}

func TestMemberTooFarBehindGetsFullList(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), Revision{Number: 1}, p.now(), false)
	require.NoError(t, p.poll())
	for i := range maxRemovals + 5 {
		p.feed.SetTargets(instances(i+10), Revision{Number: int64(i + 2)}, p.now(), false)
	}
	require.Len(t, p.feed.removals, maxRemovals)
	require.NoError(t, p.poll())
	require.Len(t, p.view.listed, 1)
}

func TestFailedRelayBackoff(t *testing.T) {
	p := newPair(t)
	dead := netip.MustParseAddrPort("127.0.0.1:1")
	p.member.config.Candidates = func() []netip.AddrPort { return []netip.AddrPort{dead, p.addr} }
	first, found := p.member.chooseRelay()
	require.True(t, found)
	require.Equal(t, dead, first)
	require.Error(t, p.member.poll(context.Background(), dead))
	p.member.avoidUntil[dead] = p.now() + failureBackoff
	next, found := p.member.chooseRelay()
	require.True(t, found)
	require.Equal(t, p.addr, next)
	p.advance(failureBackoff)
	again, _ := p.member.chooseRelay()
	require.Equal(t, dead, again)
}

// A waiting poll request costs a goroutine; a response without changes stays small at any
// number of targets.
func BenchmarkPollResponse(b *testing.B) {
	for _, n := range []int{300, 3000, 30000} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			p := newPair(b)
			ids := make([]int, n)
			for i := range ids {
				ids[i] = i
			}
			p.setTable(3)
			p.feed.SetTargets(instances(ids...), Revision{Number: 7}, p.now(), false)
			require.NoError(b, p.poll())
			b.ResetTimer()
			for b.Loop() {
				p.feed.SetTable(route.Edition{Version: 3}, nil, p.now())
				if err := p.poll(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
