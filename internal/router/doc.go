// Package router is the entry of the fleet for callers: it authenticates a
// request, offers it to agents, relays the answer of the one that granted it,
// and retries what is proven not to have run.
//
// Problem: hundreds of routers share the agents, none sees the whole, each may
// be cut off or restarted at any moment, and a caller must get either the whole
// answer to its own request or a plain failure.
//
// Invariants:
//   - A request's body leaves the router only after a grant, to the agent that
//     granted it.
//   - An answer is relayed from one attempt only, byte by byte in order; it is
//     whole only with an End whose total matches. Anything else aborts the
//     caller's connection.
//   - "not_run" is said only if every attempt is known not to have run.
//   - A request with a claim is handed over in a later attempt only if each
//     earlier one is known not to have run.
//
// The router keeps nothing but the requests in hand. Rejected: queues in the
// routers, which no router could order fairly over the fleet; buffering whole
// answers, which costs memory and the time to the first token; iris on this
// path, whose resident size exceeds the budget of a thin entry VM.
//
// Concurrency: a request is decided in the goroutine of its HTTP handler. Each
// stream to an agent has one goroutine that opens it and receives from it;
// all of a request's streams share one bounded channel of events.
package router
