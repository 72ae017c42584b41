// Package agent runs beside one target and is the only process that sends
// requests to it. It queues the offers of all routers, grants slots by weighted
// fair queueing, claims requests that must not run twice, and forwards granted
// requests to the target.
//
// Problem: there are hundreds of routers, and each sees only its own requests,
// while each target has exactly one agent. Every decision that needs a single
// order per target (admission, claims, fencing, drain) is therefore made here,
// under one mutex.
//
// Invariants:
//   - At most Slots attempts run on the target. At most one more of each class
//     is granted in advance, so that a free slot does not wait for a round trip
//     to a router.
//   - Each offer gets exactly one final answer: Refuse, End or Fail.
//   - An attempt that was reported as not run is in phaseDropped, or ended
//     before it was forwarded. Neither state is ever left.
//   - An attempt with a claim is forwarded to the target at most once, and only
//     after Begin.
//   - While draining, the agent grants nothing new and serves what it has
//     granted.
//
// Rejected alternatives:
//   - A queue in each router: a target would idle while work waits at another
//     router.
//   - Admission by the engine: it has no notion of priorities.
//
// Lock order: scheduler.mu before the mutex of fairness.Ledger and before
// answerBuffer.mu. No mutex is held during a call to a stream, the target or
// the platform.
package agent
