// Package account reads the log lines of gates and summarizes which requests were not
// served in time, and why.
//
// Problem: after an incident, the logs contain every decision, but there are too many
// lines to see which requests were lost, when and why. A caller's request may appear in
// the logs of several gates, once per attempt.
//
// Invariants: memory is bounded by Options.MaxAttempts; a line that can't be used is
// counted by reason; every attempt belongs to one request, and every request has one
// Outcome.
//
// Rejected alternative: joining attempts while lines are read. The files of several gates
// are read one after the other, so attempts don't arrive in order of time.
package account
