package platform

import "time"

// Defaults of Options.
const (
	defaultTimeout   = 2 * time.Second
	defaultMaxAnswer = 16 << 20 // bytes
	idleTimeout      = 30 * time.Second
	maxIdleConns     = 16
)

// Options are the settings of the platform's HTTP clients. Zero fields take
// their defaults.
type Options struct {
	Timeout   time.Duration // of one call, with dialling; default 2 s
	MaxAnswer int64         // bytes of one answer; default 16 MiB
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxAnswer <= 0 {
		o.MaxAnswer = defaultMaxAnswer
	}
	return o
}
