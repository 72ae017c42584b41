// Package router is the fleet's entry for callers: it authenticates a request, offers it
// to agents, relays the answer of the agent that granted it, and retries attempts that
// are known not to have run.
//
// Problem: hundreds of routers share the agents. No router sees the whole fleet, and each
// may be partitioned or restarted at any moment. A caller must get either the complete
// answer to its own request or a plain failure.
//
// Invariants:
//   - A request's body leaves the router only after a grant, and only to the agent that
//     granted it.
//   - An answer is relayed from one attempt only, byte by byte in order. It is complete
//     only with an End whose total matches; otherwise the caller's connection is aborted.
//   - A problem document says "not_run" only if every attempt is known not to have run.
//   - A request with a claim is sent to an agent again only if each earlier attempt is
//     known not to have run.
//
// The router stores nothing but the requests in flight.
//
// Rejected alternatives:
//   - Queues in the routers: no router could order them fairly over the fleet.
//   - Buffering complete answers: costs memory and delays the first token.
//   - The web framework iris on this path: its resident memory exceeds the budget of a
//     small entry VM.
//
// Concurrency: the goroutine of a request's HTTP handler makes all decisions for it. Each
// stream to an agent has one goroutine that opens it and receives from it. All streams of
// a request share one bounded channel of events.
package router
