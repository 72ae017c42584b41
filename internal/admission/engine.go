package admission

import (
	"maps"
	"time"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
)

const (
	// localCandidates is the number of targets in the local region that are tried first
	// for the requests of one shared prompt. With two, shared prompt parts are read more
	// often and no more requests are served.
	localCandidates = 1
	// maxCandidates is the number of targets that are tried in all; after the local
	// candidates come the first by rendezvous hash of all regions. Without these, a
	// quarter more requests are refused.
	maxCandidates = 4
	// maxBatchFraction bounds the requests in flight at an engine, as a fraction of its
	// batch size. Above it, batch steps take so long that streams miss their inter-token
	// objective.
	maxBatchFraction = 0.62
	// maxSurplusBatchFraction is the same bound for the surplus tier, which uses only
	// lightly loaded engines.
	maxSurplusBatchFraction = 0.15
	// maxBelowShareWaitFraction and maxSurplusWaitFraction bound the predicted wait for
	// the first token, as fractions of the time left to the latency objective.
	maxBelowShareWaitFraction = 0.6
	maxSurplusWaitFraction    = 0.05
	// maxShareWaitFraction is the wait bound within the share of workspaces whose demand
	// exceeds it and that have no service deficit. Their short requests use up the share
	// when long ones don't fit.
	maxShareWaitFraction = 0.07
	// maxUnusedShareWaitFraction is the wait bound for workspaces that leave most of
	// their share unused, because their prompts are too long for maxShareWaitFraction,
	// and for those with the largest service deficit.
	maxUnusedShareWaitFraction = 0.3
	// maxIdleBatchFraction and maxIdleWaitFraction are the bounds for the idle tier,
	// which comes after the surplus tier.
	maxIdleBatchFraction = 0.06
	maxIdleWaitFraction  = 0.02
	// maxServiceDeficit is the service deficit from which requests within the share get
	// maxUnusedShareWaitFraction. The platform counts it as unfair when a workspace gets
	// less than half of what another gets.
	maxServiceDeficit = 0.5
	// surplusRateFraction is the rate of the surplus tier, on top of the share and as a
	// fraction of it. The platform counts it as unfair when one of the workspaces above
	// their share gets less than half of what another gets.
	surplusRateFraction = 0.8
	// maxShareMultiple caps the total service of a workspace, in multiples of its fair
	// share, while others demand more than theirs. Without the cap, the workspace that
	// tries most often would get most of the idle capacity; the platform counts it as
	// unfair when one workspace gets less than half of what another gets.
	maxShareMultiple = 2
	// maxUniquePromptFraction caps how much of an engine's prompt headroom the unique
	// prompt tokens of one request count for. Users require that the largest tenth of
	// the requests of a kind is served at least half as often as the rest, although such
	// a request is late even by itself.
	maxUniquePromptFraction = 0.85
	// maxMemoryFraction is the fraction of an engine's memory that requests in flight
	// may fill; the rest caches shared prompt parts.
	maxMemoryFraction = 0.8
	// cacheMemoryFraction is the fraction of an engine's memory that is assumed to cache
	// shared prompt parts.
	cacheMemoryFraction = 0.5
	// fairShareLevelInterval is how often the fair share level is recomputed.
	fairShareLevelInterval = 100 * time.Millisecond
)

// placeEngine places the request on the first candidate that has capacity within the
// limits of the request's tier.
func (c *Controller) placeEngine(now time.Duration, req *Request, targets []target.Instance, avoided avoidedTargets) Decision {
	limit := c.limitFor(now, req)
	avoided.aboveShare = !limit.tier.WithinShare()
	refusal := Decision{Refused: request.ReasonNoTarget, Tier: limit.tier, OverShare: limit.overShare, ShareMultiple: limit.shareMultiple}
	candidates, diverted := c.candidates(req, targets, avoided)
	refusal.Diverted = diverted
	model := c.modelOf(req.Service)
	speeds := c.engineSpeedsOf(now, req.Service)
	for i, index := range candidates.indexes[:candidates.n] {
		instance := targets[index]
		load := c.loads.total(instance.ID)
		uncached := c.cacheOf(instance.ID, req).uncachedTokens(req.Parts)
		if i == 0 {
			refusal.Refused, refusal.Target, refusal.Load, refusal.UncachedTokens = request.ReasonOverloaded, instance, load, uncached
			refusal.RetryAfter = req.retryAfter()
		}
		bound, maxPromptTokens := limit, model.readableTokens(instance.ID, limit.waitFraction, req.FirstTokenObjective)
		if speeds != nil {
			bound, maxPromptTokens = limit.scaled(now, speeds, &instance, req.Slots, load, model.tokensIn(limit.waitFraction, req.FirstTokenObjective), maxPromptTokens)
		}
		if bound.fits(req, load, uncached, maxPromptTokens) {
			decision := c.place(now, req, instance, uncached, limit.overShare, avoided.cold(&instance))
			decision.Diverted = diverted
			if limit.bucket != nil {
				limit.bucket.consume(req.work())
				decision.Lease.bucket = limit.bucket
			}
			decision.Lease.model = model
			decision.Lease.tier, decision.Tier = limit.tier, limit.tier
			return decision
		}
	}
	return refusal
}

// candidates returns the targets to try for a request, in order: first those of the
// local region, then those of all regions, each by rendezvous hash of the shared prompt. A cold
// target is among them only if this gate may send the request to it; diverted reports whether
// the first choice is a cold target that it may not go to.
func (c *Controller) candidates(req *Request, targets []target.Instance, avoided avoidedTargets) (list candidateList, diverted bool) {
	key := affinityHash(req.Parts, req.Hash)
	var local, global, limited candidateList
	var cold coldCandidates
	for i := range targets {
		instance := &targets[i]
		score := mixBits(key ^ instance.Hash)
		if !global.accepts(score, maxCandidates) && !local.accepts(score, localCandidates) || avoided.contains(instance) {
			continue
		}
		inRegion := c.config.Site.distance(instance) < remoteRegion
		if avoided.limited(instance) {
			if inRegion {
				limited.add(score, i, localCandidates)
			}
			continue
		}
		if avoided.cold(instance) {
			cold.global.add(score, i, 1)
			if inRegion {
				cold.local.add(score, i, 1)
			}
			continue
		}
		global.add(score, i, maxCandidates)
		if inRegion {
			local.add(score, i, localCandidates)
		}
	}
	if limited.n > 0 && (local.n == 0 || limited.scores[0] > local.scores[0]) {
		c.requestLimits.countDemand(avoided.now, &targets[limited.indexes[0]])
	}
	warmLocal := local.n > 0
	for i := 0; i < global.n && local.n < len(local.indexes); i++ {
		if index := global.indexes[i]; !local.contains(index) {
			local.indexes[local.n] = index
			local.n++
		}
	}
	if cold.global.n > 0 {
		return c.chooseCold(req, targets, &avoided, &cold, local, global, warmLocal)
	}
	return local, false
}

// Tier is the admission tier of a request. It depends on how much of its fair share the
// workspace has used, and sets how loaded a target may be to take the request.
type Tier string

// Admission tiers, with the values that log lines contain.
const (
	TierBelowShare  Tier = "below_share"  // demand at most the fair share level
	TierShare       Tier = "share"        // within the share, by its token bucket
	TierUnusedShare Tier = "unused_share" // within the share, most of which is unused
	TierSurplus     Tier = "spare"        // above the share, by the surplus token bucket
	TierIdle        Tier = "idle"         // above the surplus, on nearly idle targets
	TierNone        Tier = "none"         // above maxShareMultiple: always refused
)

// WithinShare reports whether the tier is for requests within the fair share.
func (t Tier) WithinShare() bool {
	return t == TierBelowShare || t == TierShare || t == TierUnusedShare
}

// limit bounds how loaded a target may be when a request is placed on it.
type limit struct {
	tier          Tier
	batchFraction float64 // of the batch size
	waitFraction  float64 // of the time left to the latency objective
	// shareMultiple is the workspace's service including this request, in multiples of
	// its fair share.
	shareMultiple float64
	// overShare is set when the request is above the workspace's fair share.
	overShare bool
	// bucket is the token bucket that the request consumes from; nil if none.
	bucket *tokenBucket
}

// limitFor returns the limits of the tier that the request falls into. Workspaces whose
// demand is below the fair share level get the widest limits. The others get the full
// batch limit within their share, lower limits for a bounded surplus, and only nearly
// idle targets above that. Token buckets admit the shares evenly over time. Service
// received earlier does not reduce what they admit; it only narrows the wait bound within
// the share, so workspaces get equal service over any few seconds.
func (c *Controller) limitFor(now time.Duration, req *Request) limit {
	usage := c.fleetUsage[req.Workspace]
	if c.fairShareLevel < 0 || usage.Requested <= c.fairShareLevel {
		return limit{tier: TierBelowShare, batchFraction: maxBatchFraction, waitFraction: maxBelowShareWaitFraction}
	}
	rate := c.localRate(req.Workspace, usage)
	buckets := c.bucketsOf(req.Workspace)
	shareMultiple := (usage.Served + req.work()) / max(c.fairShareLevel, 1)
	switch {
	case buckets.share.available(now, rate):
		if buckets.share.mostlyUnused(rate) {
			return limit{tier: TierUnusedShare, batchFraction: maxBatchFraction, waitFraction: maxUnusedShareWaitFraction, shareMultiple: shareMultiple, bucket: &buckets.share}
		}
		return limit{tier: TierShare, batchFraction: maxBatchFraction, waitFraction: c.shareWaitFraction(usage), shareMultiple: shareMultiple, bucket: &buckets.share}
	case buckets.surplus.available(now, rate*surplusRateFraction):
		return limit{tier: TierSurplus, batchFraction: maxSurplusBatchFraction, waitFraction: maxSurplusWaitFraction, shareMultiple: shareMultiple, overShare: true, bucket: &buckets.surplus}
	case shareMultiple > maxShareMultiple:
		return limit{tier: TierNone, shareMultiple: shareMultiple, overShare: true}
	default:
		return limit{tier: TierIdle, batchFraction: maxIdleBatchFraction, waitFraction: maxIdleWaitFraction, shareMultiple: shareMultiple, overShare: true}
	}
}

// shareWaitFraction returns the wait bound within the share of a workspace whose demand
// exceeds it. The bound widens with the workspace's service deficit: otherwise, its
// requests would be refused while the surplus of other workspaces uses the capacity.
func (c *Controller) shareWaitFraction(usage Usage) float64 {
	if usage.Served >= c.meanServiceAboveLevel {
		return maxShareWaitFraction
	}
	deficit := 1 - usage.Served/c.meanServiceAboveLevel
	return maxShareWaitFraction + min(1, deficit/maxServiceDeficit)*(maxUnusedShareWaitFraction-maxShareWaitFraction)
}

// ExceedsFairShare reports whether one more request of a workspace is above its fair
// share. It is for a gate that is too busy to examine every request. The arguments
// promptTokens and outputTokens give the request's size. A request that exceeds the
// share is counted as demand.
func (c *Controller) ExceedsFairShare(now time.Duration, workspace string, promptTokens, outputTokens int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.refreshFairShareLevel(now)
	usage := c.fleetUsage[workspace]
	if c.fairShareLevel < 0 || usage.Requested <= c.fairShareLevel || c.bucketsOf(workspace).share.available(now, c.localRate(workspace, usage)) {
		return false
	}
	refused := Request{PromptTokens: promptTokens, OutputTokens: outputTokens}
	c.usageTracker.add(now, workspace, Usage{Requested: refused.work()})
	return true
}

// localRate returns this gate's portion of a workspace's fair share, in tokens of work
// per second. It is proportional to the demand that arrives at this gate.
func (c *Controller) localRate(workspace string, fleet Usage) float64 {
	return c.fairShareLevel / shareWindow.Seconds() * min(1, c.localUsage[workspace].Requested/max(fleet.Requested, 1))
}

func (c *Controller) bucketsOf(workspace string) *tokenBuckets {
	buckets := c.buckets[workspace]
	if buckets == nil {
		buckets = &tokenBuckets{}
		c.buckets[workspace] = buckets
	}
	return buckets
}

// fits reports whether a target with the given load can take the request. The request
// adds uncached prompt tokens; maxPromptTokens bounds the prompt tokens that the target
// may have to read in all.
func (l limit) fits(req *Request, load Load, uncached, maxPromptTokens int) bool {
	if float64(load.InFlight) >= l.batchFraction*float64(req.Slots) {
		return false
	}
	if req.CacheTokens > 0 && float64(load.Tokens+req.PromptTokens+req.OutputTokens) > maxMemoryFraction*float64(req.CacheTokens) && load.InFlight > 0 {
		return false
	}
	if req.FirstTokenObjective <= 0 || load.InFlight == 0 {
		return true
	}
	unique := min(uncached, req.uniquePromptTokens())
	return load.PendingPromptTokens+uncached-unique+min(unique, int(maxUniquePromptFraction*float64(maxPromptTokens))) <= maxPromptTokens
}

// uniquePromptTokens returns the prompt tokens that the request shares with no other.
func (r *Request) uniquePromptTokens() int {
	if len(r.Parts) == 0 {
		return r.PromptTokens
	}
	return r.Parts[len(r.Parts)-1].Tokens
}

func (c *Controller) cacheOf(id string, req *Request) *promptCache {
	cache := c.caches[id]
	if cache == nil {
		cache = newPromptCache(int(cacheMemoryFraction * float64(req.CacheTokens)))
		c.caches[id] = cache
	}
	return cache
}

func (c *Controller) modelOf(service string) *engineModel {
	model := c.models[service]
	if model == nil {
		model = newEngineModel()
		c.models[service] = model
	}
	return model
}

func (c *Controller) refreshFairShareLevel(now time.Duration) {
	if now-c.levelComputedAt < fairShareLevelInterval {
		return
	}
	c.levelComputedAt = now
	c.loads.expire(now, c.peerReportLifetime)
	c.combineEstimates(now)
	c.localUsage = c.usageTracker.localUsage(now)
	c.fleetUsage = c.usageTracker.fleetUsage(now, c.peerReportLifetime)
	maps.DeleteFunc(c.buckets, func(workspace string, _ *tokenBuckets) bool { return c.localUsage[workspace].Requested == 0 })
	c.fairShareLevel, c.meanServiceAboveLevel = -1, 0
	if c.capacity <= 0 {
		return
	}
	demands := make([]float64, 0, len(c.fleetUsage))
	for _, usage := range c.fleetUsage {
		demands = append(demands, usage.Requested)
	}
	c.fairShareLevel = maxMinShareLevel(demands, c.usableCapacity()*shareWindow.Seconds())
	c.meanServiceAboveLevel = meanServiceAbove(c.fairShareLevel, c.fleetUsage)
}
