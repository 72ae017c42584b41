package admission

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

// regionEngines returns n engines, a third of them in each of the regions r (of the gate), s
// and none.
func regionEngines(n int) (*target.Regions, []target.Instance) {
	regions := target.NewRegions(map[string]string{"d": "r", "remote-domain": "s"})
	all := newEngines(n)
	for i := range all {
		all[i].Domain = []string{"d", "remote-domain", "unknown"}[i%3]
		all[i].Region = regions.Of(all[i].Domain)
	}
	return regions, all
}

// A request that is placed outside of its regions violates the operator's rule; one that is
// refused while its regions have capacity is refused without need.
func TestPlacementStaysInRegions(t *testing.T) {
	regions, all := regionEngines(12)
	for _, slots := range []int{0, 64} {
		for region, domain := range map[string]string{"r": "d", "s": "remote-domain"} {
			c, placed := newTestController(), 0
			for n := range 200 {
				req := letterRequest("w", uint64(n%9), n)
				req.Slots, req.Regions = slots, regions.Allowed([]string{region})
				if d := c.Admit(0, req, all); d.Refused == "" {
					require.Equal(t, domain, d.Target.Domain)
					placed++
				} else {
					require.Equal(t, request.ReasonOverloaded, d.Refused)
				}
			}
			require.Greater(t, placed, 20, "the four targets of the region hold some dozens")
		}
	}
}

func TestRefusalWithoutAllowedTarget(t *testing.T) {
	regions, all := regionEngines(12)
	for _, slots := range []int{0, 64} {
		c := newTestController()
		c.BackOff(0, all[0], time.Second) // a backoff elsewhere is no reason to wait
		req := letterRequest("w", 1, 1)
		req.Slots, req.Regions = slots, regions.Allowed([]string{"nowhere"})
		require.Equal(t, request.ReasonNoAllowedTarget, c.Admit(0, req, all).Refused)
		req.Regions = regions.Allowed([]string{"s"})
		require.Equal(t, request.ReasonNoAllowedTarget, c.Admit(0, req, []target.Instance{all[0], all[2]}).Refused)
		req.Regions = regions.Allowed([]string{"r"})
		d := c.Admit(0, req, all[:3])
		require.Equal(t, request.ReasonOverloaded, d.Refused)
		require.Equal(t, time.Second, d.RetryAfter)
	}
}

// Ejections are respected by the fraction of the allowed targets: targets of other regions
// neither help the request nor make it keep to a region that is entirely ejected.
func TestEjectionsCountWithinRegions(t *testing.T) {
	regions, all := regionEngines(12)
	c := newTestController()
	for i := 0; i < len(all); i += 3 {
		c.health.recordUnreachable(0, all[i].ID)
	}
	req := letterRequest("w", 1, 1)
	req.Regions = regions.Allowed([]string{"r"})
	require.Empty(t, c.Admit(0, req, all).Refused)
}
