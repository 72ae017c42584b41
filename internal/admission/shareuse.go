package admission

import (
	"cmp"
	"slices"
)

// ShareUse is what became at this gate of the requests of one workspace whose demand
// exceeds the fair share level, since the previous call of TakeShareUses.
type ShareUse struct {
	Workspace string
	// Share and LocalRate are the workspace's fair share and this gate's portion of it,
	// in tokens of work per second.
	Share, LocalRate float64
	// Requested and Served are the workspace's usage over all gates, in tokens of work
	// per second.
	Requested, Served float64
	// Tiers holds the work that each tier admitted and refused.
	Tiers map[Tier]TierWork
	// Forfeited is the share that accrued while the token bucket was full, in tokens of
	// work.
	Forfeited float64
	// Unserved is the admitted work of which no response began because the target failed.
	Unserved float64
}

// TierWork is the work of requests in one admission tier, in tokens of work. A request
// counts each time that it arrives.
type TierWork struct {
	Admitted, Refused float64
}

func (u *ShareUse) add(tier Tier, work float64, refused bool) {
	total := u.Tiers[tier]
	if refused {
		total.Refused += work
	} else {
		total.Admitted += work
	}
	u.Tiers[tier] = total
}

// recordShareUse counts a decision on a request of a workspace whose demand exceeds the
// fair share level.
func (c *Controller) recordShareUse(req *Request, tier Tier, refused bool) {
	if tier == TierBelowShare {
		return
	}
	c.shareUseOf(req.Workspace).add(tier, req.work(), refused)
}

// recordUnserved counts the work of a request that was admitted and got no service, if the
// demand of its workspace exceeded the fair share level.
func (c *Controller) recordUnserved(l *Lease) {
	if l.tier == TierBelowShare {
		return
	}
	c.shareUseOf(l.workspace).Unserved += l.work
}

func (c *Controller) shareUseOf(workspace string) *ShareUse {
	use := c.shareUses[workspace]
	if use == nil {
		use = &ShareUse{Workspace: workspace, Tiers: make(map[Tier]TierWork)}
		c.shareUses[workspace] = use
	}
	return use
}

// TakeShareUses returns the use of shares since the previous call, by the demand that
// arrives at this gate, largest first.
func (c *Controller) TakeShareUses() []ShareUse {
	c.mu.Lock()
	defer c.mu.Unlock()
	uses := make([]ShareUse, 0, len(c.shareUses))
	for workspace, use := range c.shareUses {
		usage := c.fleetUsage[workspace]
		use.Share = max(c.fairShareLevel, 0) / shareWindow.Seconds()
		use.LocalRate = max(c.localRate(workspace, usage), 0)
		use.Requested, use.Served = usage.Requested/shareWindow.Seconds(), usage.Served/shareWindow.Seconds()
		use.Forfeited = c.bucketsOf(workspace).share.takeForfeited()
		uses = append(uses, *use)
	}
	clear(c.shareUses)
	slices.SortFunc(uses, func(a, b ShareUse) int {
		return cmp.Or(cmp.Compare(b.LocalRate, a.LocalRate), cmp.Compare(a.Workspace, b.Workspace))
	})
	return uses
}
