// Package operator is the application layer of the operators' command: it
// plans and applies changes of the workspace table, marks VMs, and tells which
// processes have which version in force.
//
// Invariants: a change is committed only on the version that it was planned
// against; a write whose answer was lost is tried again under the same change
// ID and on the same version until its effect is known, so that it takes
// effect at most once and is reported as it happened.
package operator
