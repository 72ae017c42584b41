// Package admission decides for the gate whether a request is admitted, which
// target runs it, and when a refused caller should try again.
//
// Problem: the engines admit whatever arrives, in order of arrival. Once prompts
// arrive faster than an engine reads them, every further request slows down all
// requests that run beside it: streams miss their inter-token objective, and
// cached prompt parts are evicted and read again. On the heaviest days callers
// request two to three times what the engines produce, and a few workspaces account
// for most of that.
//
// Invariants:
//   - A request is placed on a target or refused at once; it never waits here.
//   - A workspace below its max-min fair share is not refused because of a workspace
//     above its share while the target has headroom between the limits of the two.
//   - Of the workspaces above their share, the one that gets less service has the wider
//     bounds within its share.
//   - A request is refused for the crashes of others only if it has each part that a block
//     names; a response that lasts clears its parts at all gates.
//   - Every Lease is ended exactly once, and its load is released then. Its share is
//     returned if the target failed before the response began.
//
// Rejected alternatives:
//   - A queue in the gate: a request that waits while others are refused misses its
//     latency objective (objectives are 0.5 to 1.2 s, an overload lasts seconds).
//   - A random or the least loaded target: each target would read the shared prompt
//     parts again. In a trial, this repeated reading cost 0.28 to 0.59 of what was
//     earned.
//   - Shares that are enforced while targets idle: capacity must not idle while
//     work waits.
//
// A request of an engine service is placed as follows. The fair share level is the
// max-min fair share over the demand of all gates. It gives the request an admission
// Tier, and thereby bounds on the target's batch and on the predicted wait for the
// first token. Token buckets pace what a workspace above the level is admitted. The
// request goes to the first of a few targets, ordered by rendezvous hash of its
// shared prompt, that is within the bounds.
//
// The package does no I/O and reads no clock: callers pass the time, from a
// monotonic clock.
package admission
