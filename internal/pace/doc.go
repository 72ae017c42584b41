// Package pace estimates how fast the targets of a service work relative to each other,
// from what targets state in their responses and from the times that a gate observes.
//
// Problem: targets of one service differ in speed, and for some hundred milliseconds at a
// time a target works much slower because its machine is shared. Fixed weights cannot
// describe that, and a queue of equal length takes twice as long at a target that is half
// as fast.
//
// A target has three estimates, each the logarithm of a ratio to the service's mean:
//   - its own speed, which changes slowly: observed times divided by what they take on
//     average at the same load, combined with the estimates of peers;
//   - its pace at the moment: the figure that the target states or, without one, the
//     newest observations, forgotten within a second;
//   - the deviation in each of a few ranges of load, from which follows the load at which
//     the target slows down.
//
// Invariants:
//   - Service returns nil unless the targets differ by more than the noise of the
//     estimates, or state that they do: then decisions must not depend on this package.
//   - Every estimate tends to the service's mean without news. A target that restarts
//     starts at the mean.
//   - Invalid figures change nothing.
//
// The package does no I/O and reads no clock: callers pass a monotonic time. It is not safe
// for concurrent use.
package pace
