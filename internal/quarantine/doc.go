// Package quarantine decides which requests, and which parts of prompts, are refused because they
// crash the targets that run them.
//
// Problem: a request may crash each target that begins to run it, and comes again, at any gate. Or one
// part of a prompt does, in requests that have nothing else in common. No target says so: all
// that a gate sees are connections that are lost, each with whatever else the target ran.
//
// Invariants:
//   - A lost connection alone is no evidence. A crash counts only with a second one, a refused
//     connection, or the evidence of a peer, and not if the target responds afterwards.
//   - A crash counts against all that was in flight at it, however far the responses had got.
//   - A request or part that completes is cleared of the crashes until then, at all gates.
//   - A request is refused for the crashes of others only if it has each part that a block names.
//
// A Tracker does no I/O and reads no clock: callers pass the time, from a monotonic clock, and
// exchange reports with peers.
package quarantine
