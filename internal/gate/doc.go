// Package gate takes requests from callers and has targets answer them,
// directly and without state that outlives the process.
//
// Problem: a gate runs on an entry VM that may die, freeze or be cut off at any
// moment, in front of targets that crash, lose answers and hand out bytes of
// other requests. Callers must get their own whole answer or a refusal that
// they can rely on.
//
// Invariants: a request that may run once is sent again only after its target,
// or the failure to connect, proved that it did not run; "503" goes out only
// for requests that did not run and never will; a success goes out only with a
// target's own mark of it; a stream goes on at another target only after the
// connection to the first was closed, and never skips or repeats an event; a
// table whose age is above its bound admits no key.
//
// Rejected: agents beside the targets (one more hop and process for each
// request; the plain services have no VM for one), claims for requests that may
// run once (a request's identifier comes once, to one gate, which alone
// decides), and a queue (see package admission).
package gate
