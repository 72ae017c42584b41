package overload

import "time"

// Parameters of the engines, from the specifications of both deployments.
const (
	batchSlots             = 64
	cacheTokens            = 400_000
	baseStepTime           = 2600 * time.Microsecond
	stepTimePerSlot        = 120 * time.Microsecond
	defaultReadTokensPerMS = 48.2
	readChunkTokens        = 2048 // prompt tokens read per step
	tokensPerEvent         = 6
	firstEventOverhead     = 14 * time.Millisecond
)

// job is a request queued or running at an engine.
type job struct {
	request         *request
	unreadTokens    int // prompt tokens
	remainingTokens int // tokens to generate
	started         bool
	startedAt       time.Duration
	survived        bool // the response has lasted for survivalTime
}

// reportedEvents is how many events after the first are reported to the gate; later ones
// change nothing there.
const reportedEvents = 8

// survivalTime is how long after its begin a response is reported to its gate once more.
const survivalTime = time.Second

// engine batches requests in order of arrival. Each step reads a chunk of the unread
// prompts in the batch and generates a token for each request whose prompt is read.
type engine struct {
	id              string
	jobs            []*job
	waiting         []*job
	cachedParts     map[uint64]time.Duration // time of last use, by hash of the shared part
	stepping        bool
	slowdownFactor  float64 // step time relative to a healthy engine
	readTokensPerMS float64 // prompt tokens per millisecond
	baseStepTime    time.Duration
	stepTimePerSlot time.Duration
	down            bool // crashed and not restarted yet
	machine         machine
	index           int
	speeds          *Speeds
}

// relativeTime returns how long a step takes now, relative to the nominal time.
func (e *engine) relativeTime(now time.Duration) float64 {
	return e.speeds.relative(now, e.index) * e.machine.pace
}

// accept queues a request until the batch has a free slot.
func (e *engine) accept(now time.Duration, r *request) {
	unreadTokens := r.uniqueTokens
	if _, cached := e.cachedParts[r.sharedHash]; !cached {
		unreadTokens += r.sharedTokens
	}
	e.cachedParts[r.sharedHash] = now
	e.evictExpired(now)
	e.waiting = append(e.waiting, &job{request: r, unreadTokens: unreadTokens, remainingTokens: r.outputTokens})
}

// cacheTTL is how long an engine caches an unused shared part. Real engines evict when
// the cache is full; over the ten seconds or so of a load, a TTL approximates that.
const cacheTTL = 10 * time.Second

func (e *engine) evictExpired(now time.Duration) {
	for part, lastUsed := range e.cachedParts {
		if now-lastUsed > cacheTTL {
			delete(e.cachedParts, part)
		}
	}
}

// startStep begins a step and returns its duration, or 0 if there is nothing to do.
func (e *engine) startStep() time.Duration {
	for len(e.jobs) < batchSlots && len(e.waiting) > 0 {
		e.jobs = append(e.jobs, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
	if len(e.jobs) == 0 {
		return 0
	}
	budget := readChunkTokens
	for _, j := range e.jobs {
		n := min(budget, j.unreadTokens)
		j.unreadTokens -= n
		budget -= n
	}
	readTime := time.Duration(float64(readChunkTokens-budget) / e.readTokensPerMS * float64(time.Millisecond))
	return time.Duration(e.slowdownFactor * float64(e.baseStepTime+time.Duration(len(e.jobs))*e.stepTimePerSlot+readTime))
}

// finishStep ends a step at now: every request whose prompt is read gets one more token.
// It returns the requests that are complete or past their deadline.
func (e *engine) finishStep(now time.Duration) []*job {
	var finished []*job
	unfinished := e.jobs[:0]
	for _, j := range e.jobs {
		if j.unreadTokens > 0 {
			unfinished = append(unfinished, j)
			continue
		}
		j.remainingTokens--
		if !j.started && (j.remainingTokens <= j.request.outputTokens-tokensPerEvent || j.remainingTokens <= 0) {
			j.started, j.startedAt = true, now
			j.request.stated = e.speeds.statement(len(e.jobs), len(e.waiting), batchSlots, e.machine.pace)
			if j.request.crashing == nil || !j.request.crashingPart.BeforeResponse {
				j.request.recordFirstEvent(now + firstEventOverhead)
			}
		}
		if j.started && j.startedAt < now && (j.request.outputTokens-j.remainingTokens)%tokensPerEvent == 0 && j.request.events < reportedEvents {
			j.request.events++
			j.request.lease.Began(now + firstEventOverhead)
		}
		if j.started && !j.survived && now-j.startedAt > survivalTime {
			j.survived = true
			j.request.lease.Began(now)
		}
		if j.remainingTokens <= 0 || now > j.request.deadline {
			finished = append(finished, j)
			continue
		}
		unfinished = append(unfinished, j)
	}
	e.jobs = unfinished
	return finished
}
