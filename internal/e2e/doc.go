// Package e2e tests failures of the real programs: routers and agents run as separate
// processes on loopback; the platform and the targets are stand-ins in the test
// process.
//
// No verdict depends on the speed of the machine: a test waits for the condition that
// it needs, and checks what the targets ran and what the callers received.
package e2e
