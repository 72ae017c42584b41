package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// notReadyRetry is the pause that a caller of an agent that takes no work is
// asked for.
const notReadyRetry = time.Second

// suspectRetry is the time after which all agents know of a new suspect: that
// of its way into the fleet's list and from there to the agents.
const suspectRetry = 3 * time.Second

// check returns the refusal of an offer that cannot be taken, or nil.
func (a *Agent) check(o *wire.Offer) *wire.Refuse {
	if reason := malformed(o, a.cfg.Pool); reason != "" {
		return &wire.Refuse{Reason: reason, Final: true}
	}
	if refusal := a.checkState(); refusal != nil {
		return refusal
	}
	if refusal := a.checkRow(o); refusal != nil {
		return refusal
	}
	switch {
	case a.suspects.quarantined(o.Fingerprint):
		return &wire.Refuse{Reason: request.ReasonQuarantined, Final: true}
	case (o.Suspect || a.suspects.has(o.Fingerprint)) && a.cfg.Suspects == nil:
		return &wire.Refuse{Reason: request.ReasonSuspect, RetryAfter: notReadyRetry}
	case len(o.Claim) > 0 && a.cfg.Claims == nil:
		return &wire.Refuse{Reason: request.ReasonClaimUnavailable, RetryAfter: notReadyRetry}
	default:
		return nil
	}
}

// malformed returns why no agent of pool could serve o, or an empty reason.
func malformed(o *wire.Offer, pool string) request.Reason {
	switch {
	case o.Attempt == "" || o.Request == "" || o.Class > request.ClassBatch:
		return request.ReasonMalformed
	case o.Suspect && len(o.Fingerprint) == 0:
		return request.ReasonMalformed
	case o.Deadline < 0:
		return request.ReasonDeadline
	case o.Pool != pool:
		return request.ReasonUnknownPool
	default:
		return ""
	}
}

// checkState refuses offers while the agent takes no work.
func (a *Agent) checkState() *wire.Refuse {
	if closed := a.sched.closedBy(); closed != nil {
		return closed
	}
	if err := a.Ready(); err != nil {
		reason := request.ReasonNotReady
		if a.health.isDown() {
			reason = request.ReasonTargetDown
		}
		if a.fence.isRefused() {
			reason = request.ReasonFenced
		}
		return &wire.Refuse{Reason: reason, RetryAfter: notReadyRetry, Detail: err.Error()}
	}
	return nil
}

// checkRow refuses offers that the workspace's row forbids. A row that is
// missing here but may stand in the router's newer table is not yet refused
// for good.
func (a *Agent) checkRow(o *wire.Offer) *wire.Refuse {
	row := a.table.row(o.Workspace)
	newer := o.Version > a.cfg.Store.Snapshot().Table.Version
	switch {
	case newer && (row == nil || !row.Allows(o.Pool)):
		return &wire.Refuse{
			Reason:     request.ReasonNotReady,
			RetryAfter: notReadyRetry,
			Detail:     "table of the router is newer",
		}
	case row == nil:
		return &wire.Refuse{Reason: request.ReasonUnauthorized, Final: true}
	case !row.Allows(o.Pool):
		return &wire.Refuse{Reason: request.ReasonForbiddenPool, Final: true}
	case a.queueIsFull(o, row.QueueLimit):
		return a.queueFull(o)
	default:
		return nil
	}
}

// queueIsFull reports whether as many requests of the workspace as may wait in
// the fleet wait for an equal request here. Routers keep the limit over the
// fleet; the agent's own bounds its memory.
func (a *Agent) queueIsFull(o *wire.Offer, limit int) bool {
	return a.holds.waitingOf(o.Workspace) >= limit
}

func (a *Agent) queueFull(o *wire.Offer) *wire.Refuse {
	return &wire.Refuse{
		Reason:     request.ReasonQueueFull,
		RetryAfter: a.sched.retryAfter(o.Workspace),
		Final:      true,
	}
}

// queueLimit returns the number of offers of at's workspace that may wait.
func (a *Agent) queueLimit(at *attempt) int {
	row := a.table.row(at.offer.Workspace)
	if row == nil {
		return 0
	}
	return row.QueueLimit
}

// refuse sends a refusal of o. Its reason is counted whether or not it arrives.
func (a *Agent) refuse(ctx context.Context, s transport.Stream, o *wire.Offer, refusal *wire.Refuse) {
	m := *refusal
	m.Attempt = o.Attempt
	if !o.Suspect && sendsElsewhere[m.Reason] && a.suspects.unlisted(o.Fingerprint) {
		// Agents elsewhere may not know the suspect yet.
		m.Reason = request.ReasonSuspect
		m.RetryAfter = suspectRetry
	}
	a.metrics.refusals.WithLabelValues(string(m.Reason)).Inc()
	if err := s.Send(ctx, &m); err != nil && !errors.Is(err, transport.ErrLost) {
		a.log.Debug("refusal was not sent", "attempt", o.Attempt, "error", err)
	}
}

// sendsElsewhere holds the reasons for which a router turns to other agents.
var sendsElsewhere = map[request.Reason]bool{
	request.ReasonDraining:   true,
	request.ReasonNotReady:   true,
	request.ReasonTargetDown: true,
	request.ReasonFenced:     true,
}
