// Package standin holds in-memory stand-ins for the platform and for targets. Faults can be
// injected while they run. They serve tests and the demo only.
package standin
