package admission

import (
	"slices"
	"time"
)

const (
	// shareWindow is the period over which shares are measured, the same as the
	// platform's (quota_window_s, 4 s).
	shareWindow = 4 * time.Second
	// windowBuckets cover twice the window, over which the weight of usage decays. If
	// usage left the window all at once, all gates would admit more at the same time,
	// before receiving reports of the others.
	windowBuckets    = 16
	windowBucketSpan = 2 * shareWindow / windowBuckets
)

// Usage is the work that a workspace requested and was served over the share window, in
// tokens of work. Older work weighs less.
type Usage struct {
	Requested, Served float64
}

// usageTracker tracks the usage of workspaces at this gate and at its peers.
type usageTracker struct {
	local      map[string]*usageWindow
	peers      map[string]peerUsage
	peerTotals map[string]Usage // over all peers
}

type peerUsage struct {
	receivedAt time.Duration
	usage      map[string]Usage
}

// usageWindow accumulates usage in buckets, whose weight falls linearly from 1 to 0 over
// twice the shareWindow.
type usageWindow struct {
	buckets       [windowBuckets]Usage
	bucketNumbers [windowBuckets]int64
}

func (w *usageWindow) add(now time.Duration, usage Usage) {
	bucketNumber := int64(now / windowBucketSpan)
	index := bucketNumber % windowBuckets
	if w.bucketNumbers[index] != bucketNumber {
		w.buckets[index], w.bucketNumbers[index] = Usage{}, bucketNumber
	}
	w.buckets[index].Requested += usage.Requested
	w.buckets[index].Served += usage.Served
}

// remove takes back usage that was added at a time, unless it has left the window.
func (w *usageWindow) remove(addedAt time.Duration, usage Usage) {
	bucketNumber := int64(addedAt / windowBucketSpan)
	index := bucketNumber % windowBuckets
	if w.bucketNumbers[index] != bucketNumber {
		return
	}
	w.buckets[index].Requested -= usage.Requested
	w.buckets[index].Served -= usage.Served
}

func (w *usageWindow) weightedTotal(now time.Duration) Usage {
	newest := int64(now / windowBucketSpan)
	var total Usage
	for i, bucketNumber := range w.bucketNumbers {
		age := newest - bucketNumber
		if age >= windowBuckets {
			continue
		}
		weight := 1 - float64(age)/windowBuckets
		total.Requested += weight * w.buckets[i].Requested
		total.Served += weight * w.buckets[i].Served
	}
	return total
}

func newUsageTracker() *usageTracker {
	return &usageTracker{local: make(map[string]*usageWindow), peers: make(map[string]peerUsage), peerTotals: make(map[string]Usage)}
}

func (t *usageTracker) add(now time.Duration, workspace string, usage Usage) {
	window := t.local[workspace]
	if window == nil {
		window = &usageWindow{}
		t.local[workspace] = window
	}
	window.add(now, usage)
}

// remove takes back usage of a workspace that was added at a time.
func (t *usageTracker) remove(addedAt time.Duration, workspace string, usage Usage) {
	if window := t.local[workspace]; window != nil {
		window.remove(addedAt, usage)
	}
}

// localUsage returns the usage at this gate alone and removes idle workspaces.
func (t *usageTracker) localUsage(now time.Duration) map[string]Usage {
	usage := make(map[string]Usage, len(t.local))
	for workspace, window := range t.local {
		used := window.weightedTotal(now)
		if used.Requested <= 0 {
			delete(t.local, workspace)
			continue
		}
		usage[workspace] = used
	}
	return usage
}

// setPeerReport replaces the previous report of a peer.
func (t *usageTracker) setPeerReport(now time.Duration, node string, usage map[string]Usage) {
	t.addToPeerTotals(t.peers[node].usage, -1)
	t.addToPeerTotals(usage, 1)
	t.peers[node] = peerUsage{receivedAt: now, usage: usage}
}

// usageTolerance is the rounding error allowed in totals that should be zero, in tokens
// of work: reports are whole numbers on the wire, but not in the simulation of package
// overload.
const usageTolerance = 1e-3

// addToPeerTotals adds a report to the totals (sign 1) or subtracts it (sign -1).
func (t *usageTracker) addToPeerTotals(usage map[string]Usage, sign float64) {
	for workspace, change := range usage {
		total := t.peerTotals[workspace]
		total.Requested += sign * change.Requested
		total.Served += sign * change.Served
		if total.Requested < usageTolerance && total.Served < usageTolerance {
			delete(t.peerTotals, workspace)
			continue
		}
		t.peerTotals[workspace] = Usage{Requested: max(total.Requested, 0), Served: max(total.Served, 0)}
	}
}

// fleetUsage returns the usage over all gates whose reports have not expired.
func (t *usageTracker) fleetUsage(now, lifetime time.Duration) map[string]Usage {
	for node, peer := range t.peers {
		if now-peer.receivedAt > lifetime {
			t.addToPeerTotals(peer.usage, -1)
			delete(t.peers, node)
		}
	}
	usage := t.localUsage(now)
	for workspace, peerTotal := range t.peerTotals {
		total := usage[workspace]
		total.Requested += peerTotal.Requested
		total.Served += peerTotal.Served
		usage[workspace] = total
	}
	return usage
}

// tokenBucket admits a workspace's share evenly over time at one gate. One request may
// consume more than the bucket holds, so that the longest requests are admitted too.
type tokenBucket struct {
	tokens     float64 // tokens of work; negative if more was consumed than available
	refilledAt time.Duration
	forfeited  float64 // tokens that accrued while the bucket was full
}

// tokenBuckets are the buckets of one workspace at one gate.
type tokenBuckets struct {
	share, surplus tokenBucket
}

// tokenBucketDepth is how much unused share a bucket holds, as time at the workspace's
// rate. Callers arrive in bursts, and a latency objective is about a second.
const tokenBucketDepth = time.Second

// unusedTokenFraction is the fraction of the depth above which the share counts as
// mostly unused. The bucket of a workspace with only short requests that demands more
// than its share stays nearly empty.
const unusedTokenFraction = 0.5

// available refills the bucket and reports whether it admits one more request. The
// argument rate is this gate's portion of the share, in tokens of work per second.
func (b *tokenBucket) available(now time.Duration, rate float64) bool {
	refilled := b.tokens + rate*(now-b.refilledAt).Seconds()
	b.tokens = min(refilled, rate*tokenBucketDepth.Seconds())
	if b.refilledAt > 0 {
		b.forfeited += refilled - b.tokens
	}
	b.refilledAt = now
	return b.tokens > 0
}

// takeForfeited returns the tokens forfeited since the previous call.
func (b *tokenBucket) takeForfeited() float64 {
	forfeited := b.forfeited
	b.forfeited = 0
	return forfeited
}

// mostlyUnused reports whether the bucket holds more than unusedTokenFraction of its
// depth.
func (b *tokenBucket) mostlyUnused(rate float64) bool {
	return b.tokens > unusedTokenFraction*rate*tokenBucketDepth.Seconds()
}

// consume charges the work of an admitted request.
func (b *tokenBucket) consume(work float64) { b.tokens -= work }

// refund returns the work of a request that got no service.
func (b *tokenBucket) refund(work float64) { b.tokens += work }

// maxMinShareLevel returns the max-min fair share level: the most that any one workspace
// may get so that all together get capacity. It is negative if all demands fit.
func maxMinShareLevel(demands []float64, capacity float64) float64 {
	slices.Sort(demands)
	remaining := capacity
	for i, demand := range demands {
		level := remaining / float64(len(demands)-i)
		if demand > level {
			return level
		}
		remaining -= demand
	}
	return -1
}

// meanServiceAbove returns the mean service of the workspaces whose demand exceeds the
// level; 0 if there are none.
func meanServiceAbove(level float64, usage map[string]Usage) float64 {
	var total, workspaces int64 // a sum of whole numbers does not depend on the order
	for _, used := range usage {
		if level >= 0 && used.Requested > level {
			total += int64(used.Served)
			workspaces++
		}
	}
	return float64(total) / float64(max(workspaces, 1))
}
