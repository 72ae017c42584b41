// Package gate authenticates callers' requests, has them admitted, sends them to
// targets and forwards the responses. It talks to the targets directly and keeps
// no state that outlives the process.
//
// Problem: a gate runs on an entry VM that may crash, freeze or lose its network
// at any moment. Its targets crash, lose responses and return bytes that belong to
// other requests. Callers must get the complete response to their own request, or
// a refusal that they can rely on.
//
// Invariants:
//   - A request that may run only once is sent again only if its target, or the
//     failure to connect, proved that it did not run.
//   - Status 503 is returned only for requests that did not run and never will.
//   - A success is returned only if it carries the target's own response seal.
//   - A stream is resumed at another target only after the connection to the
//     previous one was closed, and it never skips or repeats an event.
//   - A table that is older than Config.MaxTableAgeForKeys accepts no API key.
//
// Terms: a send is one transmission of a request to a target. An attempt is one
// try of the caller, with an identifier of its own; the gate may make several sends
// for it.
//
// Rejected alternatives: agents beside the targets (one more hop and process per
// request, and the plain services have no VM to run one on); claims for requests
// that may run only once (a request's identifier arrives once, at one gate, which
// decides alone); a queue (see package admission).
package gate
