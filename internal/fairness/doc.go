// Package fairness shares the slots of a pool between workspaces by weight, with
// weighted fair queueing over several agents.
//
// Problem: the cost of a request is known only when it ends, no process sees
// all requests, and the requests of a workspace are spread unevenly over routers.
//
// Each agent tracks a virtual time per workspace: the service that the workspace
// received in the fleet, as far as reported to the agent, divided by its weight.
//
// Invariants:
//   - Service totals only grow. A report that is lost, late or repeated does not
//     change the result once a later one arrives.
//   - Sources of one name cover the same service and are never added up, so two
//     relays of one failure domain do not count it twice. Sources of different
//     names are disjoint.
//   - The minimum virtual time of the backlogged workspaces never decreases. A
//     workspace that becomes backlogged anywhere in the fleet is advanced to it,
//     and one that is already backlogged at another agent is not advanced again.
//   - An agent grants the waiting offer of the workspace with the lowest expected
//     virtual time in its ledger: the virtual time plus the estimated cost of the
//     running requests (see CostEstimate), divided by the weight.
//
// A workspace is backlogged while it is below its concurrency limit and has offers
// waiting at any source that reported within source.GaugeLifetime. A workspace at its
// concurrency limit has no claim to a share that it may not use.
//
// Rejected alternatives:
//   - Advancing to the minimum of the local queue: a workspace that waits at another
//     agent would lose service it is owed, and one that is idle at this agent would
//     accumulate credit.
//   - Totals per pair of workspaces: they grow with the square of the workspaces.
//   - A global virtual clock: it needs agreement between the agents.
//
// The package does no I/O and reads no clock: callers pass the time. Its only lock
// is Ledger.mu.
package fairness
