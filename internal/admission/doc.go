// Package admission decides for the gate whether a request is taken, by which
// target, and when a refused one should come back.
//
// Problem: the engines admit whatever arrives in order of arrival. Past the
// point where prompts are read as fast as they come, every request that runs
// beside them gets slower, streams miss their pauses, and cached prompt parts
// are pushed out and read again. On the heaviest days callers ask for two to
// three times what the engines produce; a few workspaces ask for most of it.
//
// Invariants: a request is placed on a target or refused at once, it never
// waits here; a workspace below its max-min share is not refused because of one
// above its share while the target has room between the two limits; every
// Lease is ended exactly once, and then its load is gone.
//
// Rejected: a queue in the gate, since a request that waits beside others'
// refusals comes too late for its goal (goals are 0.5 to 1.2 s, an overload
// lasts seconds); a random or least-loaded target, which reads shared prompt
// parts again on each target (in the trial 0.28 to 0.59 of all that was
// earned); shares enforced while targets idle, since capacity must not idle
// while work waits.
//
// The package takes no I/O and no clock: callers pass the time, on a clock that
// only goes forward.
package admission
