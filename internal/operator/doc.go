// Package operator is the application layer of the operators' command. It plans and applies
// changes of the workspace table with optimistic concurrency, marks VMs and reports which
// version of the table each process has in force.
//
// Problem: several operators may change the table at once, and the response to a write may
// be lost after the write took effect.
//
// Invariants:
//   - A change is committed only on the version that it was planned against.
//   - A write whose response was lost is retried under the same change ID and on the same
//     version until its effect is known. It takes effect at most once, and the
//     reported result is the actual one.
package operator
