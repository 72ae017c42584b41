// Package overload plays heavy loads against the gate's admission policy on a
// model of the fleet and tells what callers get.
//
// Problem: whether a workspace is served fairly and in time under an overload
// shows only when several gates, each with late knowledge of the others, meet
// engines that batch. The users' bench plays that, but neither repeatably to
// the request nor without their programs.
//
// Invariants: a run depends on its Load and policy alone; time is virtual.
//
// The model leaves out the network but for the delay of reports, crashes, and
// the engines' memory. Its figures compare policies with each other; they are
// not those of a deployment.
package overload
