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
	"github.com/mastichollow/mastichollow/internal/target"
)

// view records what a relay passes on.
type view struct {
	version  int64
	asOf     time.Duration
	listed   map[string]target.Instance
	revision int64
	regained time.Duration
}

func (v *view) TableVersion() int64 { return v.version }

func (v *view) TakeTable(data []byte, asOf time.Duration) error {
	if len(data) > 0 {
		if _, err := fmt.Sscanf(string(data), "table %d", &v.version); err != nil {
			return err
		}
	}
	v.asOf = asOf
	return nil
}

func (v *view) TakeTargets(listed []target.Instance, revision int64, regained time.Duration) {
	v.listed = make(map[string]target.Instance)
	for _, in := range listed {
		v.listed[in.ID] = in
	}
	v.revision, v.regained = revision, regained
}

// pair is a relay and a member on one clock.
type pair struct {
	mu     sync.Mutex
	time   time.Duration
	feed   *Feed
	member *Member
	view   *view
	addr   netip.AddrPort
	// before runs before a question arrives, after before its answer leaves.
	before, after func()
}

func (p *pair) now() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.time
}

func (p *pair) pass(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.time += d
}

func newPair(t testing.TB) *pair {
	p := &pair{view: &view{}, before: func() {}, after: func() {}, time: time.Hour}
	p.feed = NewFeed(1, p.now)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		p.before()
		rec := httptest.NewRecorder()
		p.feed.ServeHTTP(rec, r)
		p.after()
		w.WriteHeader(rec.Code)
		_, _ = w.Write(rec.Body.Bytes())
	}))
	t.Cleanup(server.Close)
	p.addr = netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	p.member = NewMember(Config{
		Ahead: func() []netip.AddrPort { return []netip.AddrPort{p.addr} },
		View:  p.view, Now: p.now, Log: hclog.NewNullLogger(),
	}, prometheus.NewRegistry())
	return p
}

func (p *pair) setTable(version int64) {
	p.feed.SetTable(version, fmt.Appendf(nil, "table %d", version), p.now())
}

func (p *pair) follow() error { return p.member.follow(context.Background(), p.addr) }

func instances(ids ...int) []target.Instance {
	var all []target.Instance
	for _, id := range ids {
		all = append(all, target.Instance{ID: fmt.Sprint("t", id), Addr: "10.0.0.1:1", Service: "s", Slots: 4, Born: int64(id)})
	}
	return all
}

func TestMemberKnowsWhatTheRelayKnows(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), 7, p.now(), false)
	require.NoError(t, p.follow())
	require.True(t, p.member.Served())
	require.EqualValues(t, 3, p.view.version)
	require.EqualValues(t, 7, p.view.revision)
	require.Len(t, p.view.listed, 2)
	require.Zero(t, p.view.regained)
}

func TestNewsAreAnsweredAtOnce(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), 7, p.now(), false)
	require.NoError(t, p.follow())
	done := make(chan error, 1)
	go func() { done <- p.follow() }()
	select {
	case err := <-done:
		t.Fatalf("there was no news: %v", err)
	case <-time.After(50 * time.Millisecond):
	}
	p.feed.SetTargets(instances(1), 8, p.now(), false)
	require.NoError(t, <-done)
	require.Len(t, p.view.listed, 1)
}

// The age that a member takes a table to have is never below its true one,
// however slow the way is and wherever the relay was paused.
func TestAgeIsNeverTakenForYounger(t *testing.T) {
	for name, c := range map[string]struct{ before, after, age time.Duration }{
		"calm":                          {0, 0, 300 * time.Millisecond},
		"slow question":                 {400 * time.Millisecond, 0, 300 * time.Millisecond},
		"relay paused before it sends":  {0, 700 * time.Millisecond, 300 * time.Millisecond},
		"both":                          {400 * time.Millisecond, 500 * time.Millisecond, 300 * time.Millisecond},
		"relay paused for far too long": {0, 5 * time.Second, 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPair(t)
			newest := p.now()
			p.setTable(3)
			p.feed.SetTargets(instances(1), 7, p.now(), false)
			p.pass(c.age)
			p.before = func() { p.pass(c.before) }
			p.after = func() { p.pass(c.after) }
			if err := p.follow(); err != nil {
				require.Equal(t, "relay paused for far too long", name, "%v", err)
				require.False(t, p.member.Served())
				return
			}
			require.LessOrEqual(t, p.view.asOf, newest, "it was not known to be the newest any later")
			require.Greater(t, p.view.asOf, newest-time.Second, "and not much older")
		})
	}
}

func TestRelayWithOldKnowledgeRefuses(t *testing.T) {
	atOnce := []string{"knows no table", "lost the table", "lost the targets"}
	for name, spoil := range map[string]func(*pair){
		"knows no table":       func(p *pair) { p.feed = NewFeed(2, p.now) },
		"lost the table":       func(p *pair) { p.feed.LoseTable() },
		"lost the targets":     func(p *pair) { p.feed.LoseTargets() },
		"old table":            func(p *pair) { p.pass(oldest + time.Millisecond); p.feed.SetTargets(instances(1), 8, p.now(), false) },
		"old list of targets":  func(p *pair) { p.pass(oldestTargets + time.Millisecond); p.feed.SetTable(3, nil, p.now()) },
		"nothing new for long": func(p *pair) { p.pass(time.Minute) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := newPair(t)
			p.setTable(3)
			p.feed.SetTargets(instances(1), 7, p.now(), false)
			require.NoError(t, p.follow())
			spoil(p)
			start := time.Now()
			require.Error(t, p.follow())
			longest := hold + answerMargin + 500*time.Millisecond
			if slices.Contains(atOnce, name) {
				longest = hold / 2
			}
			require.Less(t, time.Since(start), longest)
		})
	}
}

func TestMemberHearsOfAStoreThatWasLost(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), 7, p.now(), true)
	p.pass(time.Second)
	require.NoError(t, p.follow())
	require.Equal(t, time.Second, p.view.regained)
}

// Members that miss any number of changes, and relays that start anew, end with
// the relay's listing.
func TestChangesAddUp(t *testing.T) {
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
					listed[i].Leaving = rapid.Bool().Draw(t, "leaving")
				}
				p.feed.SetTargets(listed, revision, p.now(), false)
			}
			if rapid.IntRange(0, 5).Draw(t, "restart") == 0 {
				p.feed.epoch++
			}
			p.setTable(3)
			require.NoError(t, p.follow())
			require.Len(t, p.view.listed, len(p.feed.targets))
			for id, e := range p.feed.targets {
				require.Equal(t, e.in, p.view.listed[id])
			}
		}
	})
}

func TestMemberThatMissedTooManyChangesGetsTheWholeListing(t *testing.T) {
	p := newPair(t)
	p.setTable(3)
	p.feed.SetTargets(instances(1, 2), 1, p.now(), false)
	require.NoError(t, p.follow())
	for i := range maxGone + 5 {
		p.feed.SetTargets(instances(i+10), int64(i+2), p.now(), false)
	}
	require.Len(t, p.feed.gone, maxGone)
	require.NoError(t, p.follow())
	require.Len(t, p.view.listed, 1)
}

func TestRelayThatFailedIsNotAskedForAWhile(t *testing.T) {
	p := newPair(t)
	dead := netip.MustParseAddrPort("127.0.0.1:1")
	p.member.config.Ahead = func() []netip.AddrPort { return []netip.AddrPort{dead, p.addr} }
	first, found := p.member.choose()
	require.True(t, found)
	require.Equal(t, dead, first)
	require.Error(t, p.member.follow(context.Background(), dead))
	p.member.avoid[dead] = p.now() + avoidTime
	next, found := p.member.choose()
	require.True(t, found)
	require.Equal(t, p.addr, next)
	p.pass(avoidTime)
	again, _ := p.member.choose()
	require.Equal(t, dead, again)
}

// A held question costs a goroutine; an answer without changes stays small at any
// number of targets.
func BenchmarkAnswer(b *testing.B) {
	for _, n := range []int{300, 3000, 30000} {
		b.Run(fmt.Sprint(n, "-targets"), func(b *testing.B) {
			p := newPair(b)
			ids := make([]int, n)
			for i := range ids {
				ids[i] = i
			}
			p.setTable(3)
			p.feed.SetTargets(instances(ids...), 7, p.now(), false)
			require.NoError(b, p.follow())
			b.ResetTimer()
			for b.Loop() {
				p.feed.SetTable(3, nil, p.now())
				if err := p.follow(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
