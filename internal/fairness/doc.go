// Package fairness shares the slots of a pool between workspaces by weight.
//
// Problem: the cost of a request is known only when it ends, no process sees
// all the requests, and workspaces are spread unevenly over routers.
//
// Invariants: sums only grow; a report that is lost, late or repeated does not
// change the result once a later one arrives; an agent grants the waiting
// offer of the workspace with the least weighted service that it knows of.
//
// The package takes no I/O and no clock.
package fairness
