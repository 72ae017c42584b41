// Package experiment drives the policy types (fairness.Ledger and Queue,
// placement, the encodings of reports and digests) through a small
// event-driven model of a fleet and measures what they do.
//
// Problem: the fairness gap, the utilisation and the control traffic of a
// policy show only over many agents, under delayed, lost and repeated reports,
// cuts and restarts, and have to be the same on each run to be compared.
//
// The policy types are the real ones; agents, routers, relays, callers and the
// network are fakes at their interfaces. All time is virtual and all chance
// comes from one seeded source.
package experiment
