// Package standin holds small in-memory stand-ins of the platform and of the
// targets, with faults that can be set while they run. They serve tests and
// the demo only.
package standin
