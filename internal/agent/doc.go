// Package agent is the only gate to its target: it queues the offers of all
// routers, grants slots by weighted fair queueing, claims requests that may not
// be repeated, and hands requests to the target.
//
// Problem: there are hundreds of routers and none sees the whole, while each
// target has exactly one agent. What has to be ordered for a target (admission,
// claims, fencing, drain) is therefore ordered here, under one mutex.
//
// Invariants:
//   - at most Slots attempts run on the target, and at most one more of each
//     class has been granted, so that a slot need not wait for a round trip;
//   - each offer gets exactly one final answer: Refuse, End or Fail;
//   - an attempt that was reported as not run is in phaseDropped, or ended
//     before the handover; neither phase is ever left;
//   - an attempt in a claim's name is handed over at most once, after Begin;
//   - once draining, the agent grants nothing and what was granted is served.
//
// Rejected: a queue in each router, which idles a target while work waits at
// another router; admission by the engine, which knows no priorities.
//
// Lock order: scheduler.mu before Ledger's and before output.mu. No lock is
// held during a call to a stream, the target or the platform.
package agent
