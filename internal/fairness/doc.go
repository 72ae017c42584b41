// Package fairness shares the slots of a pool between workspaces by weight.
//
// Problem: the cost of a request is known only when it ends, no process sees
// all the requests, and workspaces are spread unevenly over routers.
//
// Invariants:
//   - Sums only grow; a report that is lost, late or repeated does not change
//     the result once a later one arrives.
//   - Sources of one name cover the same service and are never added up, so two
//     relays of a failure domain do no harm. Sources of different names are
//     disjoint.
//   - The least level among backlogged workspaces, the floor, never falls. A
//     workspace that becomes backlogged anywhere in the fleet is lifted to it,
//     and one that waits elsewhere already is not lifted again.
//   - An agent grants the waiting offer of the workspace with the least weighted
//     service that it knows of.
//
// A workspace is backlogged while it has offers waiting at any source that was
// heard lately and is below its concurrency limit: one that is held back by its
// own limit has no claim to a share that it may not use.
//
// Rejected: lifting to the floor of the local queue, which lets a workspace that
// waits elsewhere lose its due and one that is idle here save up; sums per pair
// of workspaces, which grow with the square; a global virtual clock, which needs
// agreement.
//
// The package takes no I/O and no clock. Locks: Ledger.mu only.
package fairness
