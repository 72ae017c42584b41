package admission

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/internal/pace"
	"github.com/mastichollow/mastichollow/internal/prompt"
	"github.com/mastichollow/mastichollow/internal/quarantine"
	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/warmup"
)

// generatedTokenWeight is the work of a generated token relative to that of a prompt
// token, as the platform counts it.
const generatedTokenWeight = 2

// Request is the input of an admission decision.
type Request struct {
	Workspace string
	Service   string
	// Slots is the batch size of the service's engines; 0 for a plain service.
	Slots int
	// CacheTokens is the memory of each of the service's engines, in tokens.
	CacheTokens  int
	Parts        []prompt.Part
	PromptTokens int // prompt length
	OutputTokens int // estimated number of tokens to generate
	// FirstTokenObjective is the time left to meet the latency objective for the first
	// event; 0 means no objective.
	FirstTokenObjective time.Duration
	// Hash spreads requests that have no shared prompt over the targets.
	Hash        uint64
	Fingerprint quarantine.Fingerprint
	// Retry is set when the request was placed before.
	Retry bool
	// Regions holds the regions in which the request may be served.
	Regions target.RegionSet
	// TargetsOutdated is set if this gate was suspended since it read the list of targets: any
	// of them may have become cold.
	TargetsOutdated bool
	// Exclude lists the IDs of the targets that the request was already sent to.
	Exclude []string
}

func (r *Request) work() float64 {
	return float64(r.PromptTokens + generatedTokenWeight*r.OutputTokens)
}

// Decision is a placement or a refusal, with the inputs that led to it.
type Decision struct {
	Target         target.Instance
	Lease          *Lease
	Refused        request.Reason // empty if placed
	Load           Load           // of the target before placement, or of the first candidate if refused
	UncachedTokens int            // prompt tokens that the target is expected to read
	Tier           Tier           // tier that admitted or refused the request; empty for a plain service
	OverShare      bool
	// ShareMultiple is the workspace's service including this request, in multiples of
	// its fair share; 0 if the workspace's demand is within its share or all demand
	// fits.
	ShareMultiple float64
	// BlockedPart is the hash of the part for which the request was refused; 0: none.
	BlockedPart uint64
	// Cold is set if the request was placed on a cold target, as one of its few sends.
	Cold bool
	// Diverted is set if the first choice was a cold target that did not get the request.
	Diverted bool
	// RetryAfter is when a refused caller may try again; 0 if unknown.
	RetryAfter time.Duration
}

const (
	// retryAfterFraction is the fraction of a request's latency objective after which a
	// refused caller may try again. Callers try only once or twice, and the rest of the
	// objective is left for reading the prompt.
	retryAfterFraction = 0.2
	// retryAfterWithoutObjective is the delay for requests without a latency objective,
	// about that for an objective of one second.
	retryAfterWithoutObjective = 200 * time.Millisecond
)

// retryAfter returns when a refused caller may try again.
func (r *Request) retryAfter() time.Duration {
	if r.FirstTokenObjective <= 0 {
		return retryAfterWithoutObjective
	}
	return time.Duration(retryAfterFraction * float64(r.FirstTokenObjective))
}

// Config configures a Controller.
type Config struct {
	Site  Site
	Retry RetryBudget
	// IgnoreSpeeds makes decisions ignore that targets of a service differ in speed.
	IgnoreSpeeds bool
	// SpeedsByStatedPace makes decisions use the speeds of a service only once one of its
	// targets has stated its pace. Where no target does, speeds learned from response times
	// alone served fewer requests in time on one of the deployments.
	SpeedsByStatedPace bool
}

// Controller places requests on targets and tracks the load of the fleet. It is safe for
// concurrent use.
type Controller struct {
	config Config

	mu           sync.Mutex
	loads        *loads
	usageTracker *usageTracker
	caches       map[string]*promptCache // by target ID
	models       map[string]*engineModel // by service
	// peerEstimates holds the engine estimates that peers reported, by node.
	peerEstimates      map[string]peerEstimates
	health             *health
	quarantine         *quarantine.Tracker
	backoffs           *backoffs
	speeds             *pace.Tracker
	statesPace         map[string]bool // services of which a target has stated its pace
	requestLimits      *requestLimits
	warmup             *warmup.Pacer
	coldUse            ColdUse
	retries            map[string]*retryCounts  // by service
	gateCount          int                      // number of gates that share the retry budget
	peerReportLifetime time.Duration            // how long a peer's report counts
	engines            map[string]engineService // by service
	capacity           float64                  // of all engines, tokens of work per second; 0: unknown
	levelComputedAt    time.Duration
	fairShareLevel     float64 // tokens of work per shareWindow; negative: all demand fits
	// meanServiceAboveLevel is the mean service, over shareWindow, of the workspaces whose
	// demand exceeds the level.
	meanServiceAboveLevel float64
	fleetUsage            map[string]Usage         // of all gates, by workspace
	localUsage            map[string]Usage         // of this gate, by workspace
	buckets               map[string]*tokenBuckets // by workspace
	shareUses             map[string]*ShareUse     // by workspace
}

// NewController returns a controller without any recorded load.
func NewController(config Config) *Controller {
	return &Controller{
		config:             config,
		loads:              newLoads(),
		usageTracker:       newUsageTracker(),
		caches:             make(map[string]*promptCache),
		models:             make(map[string]*engineModel),
		peerEstimates:      make(map[string]peerEstimates),
		health:             newHealth(),
		quarantine:         quarantine.NewTracker(),
		backoffs:           newBackoffs(),
		speeds:             pace.NewTracker(),
		statesPace:         make(map[string]bool),
		requestLimits:      newRequestLimits(config.Site),
		warmup:             warmup.NewPacer(),
		retries:            make(map[string]*retryCounts),
		gateCount:          1,
		peerReportLifetime: minPeerReportLifetime,
		engines:            make(map[string]engineService),
		fairShareLevel:     -1,
		levelComputedAt:    -fairShareLevelInterval,
		fleetUsage:         make(map[string]Usage),
		buckets:            make(map[string]*tokenBuckets),
		shareUses:          make(map[string]*ShareUse),
	}
}

// SetCapacity sets what all engines together produce, in tokens of work per second. If
// it is 0 (unknown), no shares are enforced.
func (c *Controller) SetCapacity(tokensPerSecond float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.capacity = tokensPerSecond
}

// Admit places a request on one of targets or refuses it.
func (c *Controller) Admit(now time.Duration, req *Request, targets []target.Instance) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !req.Retry {
		c.config.Retry.countRequest(c.retriesOf(req.Service), now)
	}
	c.quarantine.SettleUnframed(now)
	if c.quarantine.Quarantined(now, req.Fingerprint, req.Parts) {
		return Decision{Refused: request.ReasonQuarantined}
	}
	if part, until, blocked := c.quarantine.BlockedPart(now, req.Parts, quarantine.IDOfWorkspace(req.Workspace)); blocked {
		return Decision{Refused: request.ReasonQuarantined, BlockedPart: part, RetryAfter: until - now}
	}
	if req.Slots > 0 {
		c.countEngines(req.Service, len(targets))
		c.refreshFairShareLevel(now)
		if !req.Retry {
			c.usageTracker.add(now, req.Workspace, Usage{Requested: req.work()})
		}
	}
	avoided := c.avoidedTargetsFor(now, req, targets)
	decision := c.choose(now, req, targets, avoided)
	if decision.Refused != "" && avoided.useHints {
		avoided.useHints = false
		decision = c.choose(now, req, targets, avoided)
	}
	if decision.Refused == "" {
		c.quarantine.RecordAdmitted(req.Parts)
	}
	if decision.Diverted {
		c.coldUse.Diverted++
	}
	if req.Slots > 0 {
		c.recordShareUse(req, decision.Tier, decision.Refused != "")
	}
	if decision.Refused == request.ReasonNoTarget {
		if !anyAllowed(req.Regions, targets) {
			decision.Refused = request.ReasonNoAllowedTarget
		} else if wait := c.backoffs.soonestEnd(now, req.Regions, targets); wait > 0 {
			decision.Refused, decision.RetryAfter = request.ReasonOverloaded, wait
		} else if c.requestLimits.limited(req.Regions, targets) {
			decision.Refused, decision.RetryAfter = request.ReasonOverloaded, req.retryAfter()
		} else if wait := c.coldWait(targets, &avoided); wait > 0 {
			decision.Refused, decision.RetryAfter = request.ReasonOverloaded, wait
		}
	}
	return decision
}

// anyAllowed reports whether one of targets is in a region of the set, or the set is not
// restricted.
func anyAllowed(regions target.RegionSet, targets []target.Instance) bool {
	return regions.Unrestricted() || slices.ContainsFunc(targets, func(instance target.Instance) bool { return regions.Contains(instance.Region) })
}

// countAllowed returns how many of targets are in a region of the set.
func countAllowed(regions target.RegionSet, targets []target.Instance) int {
	if regions.Unrestricted() {
		return len(targets)
	}
	allowed := 0
	for i := range targets {
		if regions.Contains(targets[i].Region) {
			allowed++
		}
	}
	return allowed
}

// choose places the request on a target that is not avoided, or refuses it.
func (c *Controller) choose(now time.Duration, req *Request, targets []target.Instance, avoided avoidedTargets) Decision {
	if req.Slots == 0 {
		return c.placePlain(now, req, targets, avoided)
	}
	return c.placeEngine(now, req, targets, avoided)
}

func (c *Controller) retriesOf(service string) *retryCounts {
	retries := c.retries[service]
	if retries == nil {
		retries = &retryCounts{}
		c.retries[service] = retries
	}
	return retries
}

// avoidedTargets selects the targets that a request must not go to: those in other regions,
// those it was already sent to, those that asked this gate to back off, and ejected ones. Ejections are
// ignored while more than maxEjectedFraction of the targets that are left are ejected, since
// that would help nobody.
type avoidedTargets struct {
	regions     target.RegionSet
	exclude     []string
	health      *health
	backoffs    *backoffs
	now         time.Duration
	skipEjected bool
	// useHints also avoids targets that asked another gate to back off.
	useHints bool
	limits   *requestLimits
	// allCold is set if no target is known to be warm.
	allCold bool
	// aboveShare is set when the request is above the fair share of its workspace.
	aboveShare bool
}

func (c *Controller) avoidedTargetsFor(now time.Duration, req *Request, targets []target.Instance) avoidedTargets {
	avoided := avoidedTargets{regions: req.Regions, exclude: req.Exclude, health: c.health, backoffs: c.backoffs, limits: c.requestLimits, now: now, useHints: len(c.backoffs.hints) > 0}
	avoided.allCold = req.TargetsOutdated && c.warmup.HasPlan(req.Service)
	ejected := c.health.countEjected(now, req.Regions, targets)
	avoided.skipEjected = ejected > 0 && float64(ejected) <= maxEjectedFraction*float64(countAllowed(req.Regions, targets))
	return avoided
}

func (a *avoidedTargets) contains(instance *target.Instance) bool {
	return !a.regions.Contains(instance.Region) || slices.Contains(a.exclude, instance.ID) || a.skipEjected && !a.health.usable(a.now, instance.ID) ||
		remainingBackoff(a.backoffs.local, a.now, instance) > 0 || a.useHints && remainingBackoff(a.backoffs.hints, a.now, instance) > 0
}

// limited reports whether the request limit of the target is used up.
func (a *avoidedTargets) limited(instance *target.Instance) bool {
	return a.limits.exhausted(a.now, instance, !a.aboveShare)
}

func (c *Controller) place(now time.Duration, req *Request, instance target.Instance, uncached int, overShare, cold bool) Decision {
	load := c.loads.total(instance.ID)
	slots := max(instance.Slots, req.Slots, 1)
	lease := &Lease{
		controller:        c,
		target:            instance,
		fingerprint:       req.Fingerprint,
		parts:             req.Parts,
		workspace:         req.Workspace,
		load:              Load{InFlight: 1, PendingPromptTokens: uncached, Tokens: req.PromptTokens + req.OutputTokens},
		placedAt:          now,
		relativeLoad:      float64(load.InFlight) / float64(slots),
		slots:             float64(slots),
		promptTokensAhead: load.PendingPromptTokens + uncached,
	}
	c.loads.add(instance.ID, lease.load)
	c.requestLimits.consume(now, &instance)
	if cold {
		c.warmup.Consume(now, &instance, c.regionOf(&instance), req.Workspace)
		c.coldUse.Sends++
	}
	if req.Slots > 0 {
		lease.work = req.work()
		c.recordMeanWork(req.Service, lease.work)
		c.cacheOf(instance.ID, req).recordUse(now, req.Parts)
		served := Usage{Served: req.work()}
		c.usageTracker.add(now, req.Workspace, served)
		usage := c.fleetUsage[req.Workspace]
		usage.Served += served.Served
		c.fleetUsage[req.Workspace] = usage
	}
	return Decision{Target: instance, Lease: lease, Load: load, UncachedTokens: uncached, OverShare: overShare, Cold: cold}
}

// AcquireRetry acquires one retry of the service from the fleet's retry budget, or
// returns nil if the budget is exhausted.
func (c *Controller) AcquireRetry(now time.Duration, service string) *Retry {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.config.Retry.acquire(c.retriesOf(service), now, c.gateCount)
}

// ReturnRetry returns a retry that reached no target to the budget.
func (c *Controller) ReturnRetry(retry *Retry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	retry.giveBack()
}

// RetainTargets removes the state of targets for which live returns false. Crashes
// recorded against requests are retained.
func (c *Controller) RetainTargets(live func(id string) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.health.retain(live)
	c.quarantine.Retain(live)
	c.requestLimits.retain(live)
	c.warmup.Retain(live)
	c.speeds.Retain(live)
	for id := range c.caches {
		if !live(id) {
			delete(c.caches, id)
		}
	}
	for _, model := range c.models {
		maps.DeleteFunc(model.slowdownFactors, func(id string, _ float64) bool { return !live(id) })
	}
}
