// Package e2e holds the tests that bring about failures of the real programs:
// routers and agents run as separate processes on loopback, the platform and
// the targets as stand-ins in the test's own process.
//
// A verdict never rests on how fast the machine is: a test waits for what it
// needs to see, and checks what the targets ran and what the callers were told.
package e2e
