package platform

import "time"

// Defaults of Options.
const (
	defaultTimeout          = 2 * time.Second
	defaultMaxResponseBytes = 16 << 20
	idleTimeout             = 30 * time.Second
	maxIdleConns            = 16
)

// Options configures the HTTP clients of platform services. Zero fields take their
// defaults.
type Options struct {
	Timeout          time.Duration // of one call, including dialling; default 2 s
	MaxResponseBytes int64         // of one response's body; default 16 MiB
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxResponseBytes <= 0 {
		o.MaxResponseBytes = defaultMaxResponseBytes
	}
	return o
}
