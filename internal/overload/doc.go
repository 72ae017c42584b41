// Package overload is a discrete-event simulation of overloaded engines. It compares
// admission policies by the service that callers get.
//
// Problem: whether a workspace is served fairly and in time under overload shows only
// when several gates, each with a delayed view of the others, share engines that batch
// requests. The users' benchmark runs such loads, but it needs their programs and does
// not repeat a run request by request.
//
// Invariants: a run depends only on its Load and policy; time is virtual.
//
// The simulation leaves out crashes, the engines' memory, and the network except for the
// delay of reports. Its figures compare policies with each other; they don't predict
// those of a deployment.
package overload
