package agent

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
)

// notReadyRetryAfter is the retry delay in refusals of an agent that accepts no
// work.
const notReadyRetryAfter = time.Second

// suspectPropagationDelay is the time within which a new suspect reaches the
// fleet's list and from there all agents.
const suspectPropagationDelay = 3 * time.Second

// checkOffer returns the refusal of an offer that cannot be accepted, or nil.
func (a *Agent) checkOffer(o *wire.Offer) *wire.Refuse {
	if reason := invalidOfferReason(o, a.cfg.Pool); reason != "" {
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
		return &wire.Refuse{Reason: request.ReasonSuspect, RetryAfter: notReadyRetryAfter}
	case len(o.Claim) > 0 && a.cfg.Claims == nil:
		return &wire.Refuse{Reason: request.ReasonClaimUnavailable, RetryAfter: notReadyRetryAfter}
	default:
		return nil
	}
}

// invalidOfferReason returns why no agent of pool could serve o, or an empty
// reason.
func invalidOfferReason(o *wire.Offer, pool string) request.Reason {
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

// checkState refuses offers while the agent accepts no work.
func (a *Agent) checkState() *wire.Refuse {
	if closed := a.sched.closeRefusal(); closed != nil {
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
		return &wire.Refuse{Reason: reason, RetryAfter: notReadyRetryAfter, Detail: err.Error()}
	}
	return nil
}

// checkRow refuses offers that the workspace table does not allow. If the
// router has a newer table, an offer that this agent's table does not allow
// gets a refusal that is not final, because the newer table may allow it.
func (a *Agent) checkRow(o *wire.Offer) *wire.Refuse {
	row := a.table.row(o.Workspace)
	routerTableIsNewer := o.TableVersion > a.cfg.Store.Snapshot().Table.Version
	switch {
	case routerTableIsNewer && (row == nil || !row.Allows(o.Pool)):
		return &wire.Refuse{
			Reason:     request.ReasonNotReady,
			RetryAfter: notReadyRetryAfter,
			Detail:     "table of the router is newer",
		}
	case row == nil:
		return &wire.Refuse{Reason: request.ReasonUnauthorized, Final: true}
	case !row.Allows(o.Pool):
		return &wire.Refuse{Reason: request.ReasonForbiddenPool, Final: true}
	case a.duplicateQueueIsFull(o, row.QueueLimit):
		return a.queueFullRefusal(o)
	default:
		return nil
	}
}

// duplicateQueueIsFull reports whether at least limit requests of the workspace
// wait here for a request with the same fingerprint. limit is the queue limit
// over the whole fleet, which the routers enforce; here it bounds the agent's
// memory.
func (a *Agent) duplicateQueueIsFull(o *wire.Offer, limit int) bool {
	return a.locks.waitingOf(o.Workspace) >= limit
}

func (a *Agent) queueFullRefusal(o *wire.Offer) *wire.Refuse {
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

// refuse sends refusal in answer to o. It is counted by reason even if it
// cannot be sent.
func (a *Agent) refuse(ctx context.Context, s transport.Stream, o *wire.Offer, refusal *wire.Refuse) {
	m := *refusal
	m.Attempt = o.Attempt
	if !o.Suspect && agentSpecificReasons[m.Reason] && a.suspects.isUnlisted(o.Fingerprint) {
		// Other agents may not know the suspect yet.
		m.Reason = request.ReasonSuspect
		m.RetryAfter = suspectPropagationDelay
	}
	a.metrics.refusals.WithLabelValues(string(m.Reason)).Inc()
	if err := s.Send(ctx, &m); err != nil && !errors.Is(err, transport.ErrLost) {
		a.log.Debug("failed to send a refusal", "attempt", o.Attempt, "error", err)
	}
}

// agentSpecificReasons holds the reasons for which a router offers the request
// to other agents.
var agentSpecificReasons = map[request.Reason]bool{
	request.ReasonDraining:   true,
	request.ReasonNotReady:   true,
	request.ReasonTargetDown: true,
	request.ReasonFenced:     true,
}
