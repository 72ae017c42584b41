package gate

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/route"
	"github.com/mastichollow/mastichollow/internal/target"
)

// newRegionFixture has the targets t0 in region r, which is the gate's, and t1 in region s.
func newRegionFixture(t *testing.T, routes []route.Route, local, remote targetHandler) *fixture {
	t.Helper()
	f := newFixture(t, routes, local, remote)
	listed := append([]target.Instance(nil), f.directory.Current().Available("letters")...)
	listed[1].Domain = "e"
	f.directory.Replace(listed, 0, false)
	return f
}

func restrictedTo(r route.Route, regions ...string) []route.Route {
	r.AllowedRegions = regions
	return testRoutes(r)
}

func (f *fixture) requireOnlyAt(id string, sends int) {
	f.t.Helper()
	received := f.receivedRequests()
	require.Len(f.t, received, sends)
	for _, r := range received {
		require.Equal(f.t, id, r.target)
	}
}

// A request that reaches a target outside of its regions violates a rule that the operator
// set, however the request came to be sent there.
func TestRestrictedRequestStaysInRegion(t *testing.T) {
	workspace := func(regions ...string) []route.Workspace {
		return []route.Workspace{{Name: "shop", Keys: []string{"k"}, AllowedRegions: regions}}
	}
	for _, c := range []struct {
		name       string
		routes     []route.Route
		workspaces []route.Workspace
		target     string // "": refused
	}{
		{"route, local region", restrictedTo(once, "r"), workspace(), "t0"},
		{"route, other region", restrictedTo(once, "s"), workspace(), "t1"},
		{"workspace, other region", restrictedTo(once), workspace("s"), "t1"},
		{"route and workspace", restrictedTo(once, "r", "s"), workspace("s", "u"), "t1"},
		{"no common region", restrictedTo(once, "r"), workspace("s"), ""},
		{"unknown region", restrictedTo(once, "u"), workspace(), ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRegionFixture(t, c.routes, succeed("whole"), succeed("whole"))
			f.setTableContent(2, c.routes, c.workspaces)
			for range 4 {
				got := f.send("/p/", "body", patient...)
				if c.target == "" {
					require.Equal(t, 503, got.status)
					require.Contains(t, got.body, "no_allowed_target")
					require.NotEmpty(t, got.header.Get("Retry-After"))
					require.Empty(t, f.receivedRequests())
					continue
				}
				require.Equal(t, 200, got.status)
			}
			if c.target != "" {
				f.requireOnlyAt(c.target, 4)
			}
		})
	}
}

func TestRestrictedRequestNotRetriedElsewhere(t *testing.T) {
	f := newRegionFixture(t, restrictedTo(idempotent, "r"), closeConn(), succeed("whole"))
	require.Equal(t, 502, f.send("/p/", "body", patient...).status)
	f.requireOnlyAt("t0", 1)
}

func TestRestrictedStreamNotResumedElsewhere(t *testing.T) {
	f := newRegionFixture(t, restrictedTo(resumable, "r"), streamEvents(1, 2, false), streamEvents(3, 4, true))
	require.Error(t, f.send("/p/", "body", patient...).err)
	f.requireOnlyAt("t0", 1)
}

// The table may change between two sends of one request: each send must satisfy the table
// under which the request was accepted and the newest one.
func TestRegionsOfNewestTableHoldForRetries(t *testing.T) {
	for _, c := range []struct {
		name          string
		before, after []route.Route
	}{
		{"list added", restrictedTo(resumable), restrictedTo(resumable, "r")},
		{"list changed", restrictedTo(resumable, "r", "s"), restrictedTo(resumable, "r")},
		{"list removed", restrictedTo(resumable, "r"), restrictedTo(resumable)},
	} {
		for name, first := range map[string]targetHandler{"retry": closeConn(), "resumed stream": streamEvents(1, 2, false)} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				var f *fixture
				f = newRegionFixture(t, c.before, func(conn net.Conn, r targetRequest) {
					f.setTable(2, c.after)
					first(conn, r)
				}, streamEvents(3, 4, true))
				got := f.send("/p/", "body", patient...)
				require.True(t, got.err != nil || got.status == 502, "status %d", got.status)
				f.requireOnlyAt("t0", 1)
			})
		}
	}
}

// A workspace's list is looked up by key in the newest table as well.
func TestWorkspaceRegionsOfNewestTableHoldForRetries(t *testing.T) {
	var f *fixture
	f = newRegionFixture(t, restrictedTo(idempotent), func(conn net.Conn, _ targetRequest) {
		f.setTableContent(2, restrictedTo(idempotent), []route.Workspace{{Name: "shop", Keys: []string{"k"}, AllowedRegions: []string{"r"}}})
		conn.Close()
	}, succeed("whole"))
	require.Equal(t, 502, f.send("/p/", "body", patient...).status)
	f.requireOnlyAt("t0", 1)
}

// Without a target outside of the evacuated failure domains, waiting would only delay the
// refusal.
func TestRefusedAtOnceWhileEvacuated(t *testing.T) {
	for _, c := range []struct {
		name      string
		routes    []route.Route
		evacuated []string
		reason    string // "": served at t1
	}{
		{"all targets", restrictedTo(once), []string{"d", "e"}, `"no_target"`},
		{"all allowed targets", restrictedTo(once, "r"), []string{"d"}, `"no_allowed_target"`},
		{"other targets", restrictedTo(once), []string{"d"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newRegionFixture(t, c.routes, succeed("whole"), succeed("whole"))
			f.directory.SetEvacuated(c.evacuated, 0)
			got := f.send("/p/", "body", patient...)
			if c.reason == "" {
				require.Equal(t, 200, got.status)
				f.requireOnlyAt("t1", 1)
				return
			}
			require.Equal(t, 503, got.status)
			require.Contains(t, got.body, c.reason)
			require.NotEmpty(t, got.header.Get("Retry-After"))
			require.Empty(t, f.receivedRequests())
		})
	}
}

// A request whose first target is evacuated while it runs there is retried elsewhere, and a
// response that is under way is forwarded.
func TestEvacuationDuringRequest(t *testing.T) {
	for name, first := range map[string]targetHandler{"retried": closeConn(), "completed": succeed("whole")} {
		var f *fixture
		f = newRegionFixture(t, restrictedTo(idempotent), func(conn net.Conn, r targetRequest) {
			f.directory.SetEvacuated([]string{"d"}, 0)
			first(conn, r)
		}, succeed("whole"))
		require.Equal(t, 200, f.send("/p/", "body", patient...).status, name)
	}
}
