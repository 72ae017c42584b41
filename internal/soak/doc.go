// Package soak runs gates as separate processes, injects random faults from outside
// and checks what callers received and what targets ran.
//
// Problem: tests inject one fault at a time. A guarantee is often violated by a second
// fault that arrives while the first one is still being handled.
//
// A seed determines the plan: the kind of each fault, what it affects, when it begins
// and how long it lasts, in overlapping series. Callers reuse their connections until
// these end. A check tolerates only what a disruption recorded in the history of the
// run explains. Runs whose plan contains only planned operations or only store faults
// are therefore checked most strictly.
//
// The store, the targets and the network links are stand-ins in this process. The soak
// sends signals only to processes that it started, by process ID.
package soak
