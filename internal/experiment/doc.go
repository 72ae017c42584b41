// Package experiment is a discrete-event simulation of a fleet. It runs the policy types
// (fairness.Ledger and Queue, placement, the encodings of reports and digests) and
// measures the fairness gap, the utilisation and the control traffic of policies.
//
// Problem: these measures depend on many agents under delayed, lost and duplicated
// reports, network partitions and restarts, and must be reproducible to be compared.
//
// The policy types are the real ones; agents, routers, relays, callers and the network
// are fakes at their interfaces. Time is virtual, and all randomness comes from one
// seeded source.
package experiment
