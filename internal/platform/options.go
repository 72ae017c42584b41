package platform

import "time"

// Defaults of Options.
const (
	defaultTimeout        = 2 * time.Second
	defaultMaxAnswerBytes = 16 << 20
	idleTimeout           = 30 * time.Second
	maxIdleConns          = 16
)

// Options configures the HTTP clients of platform services. Zero fields take their
// defaults.
type Options struct {
	Timeout        time.Duration // of one call, including dialling; default 2 s
	MaxAnswerBytes int64         // default 16 MiB
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.MaxAnswerBytes <= 0 {
		o.MaxAnswerBytes = defaultMaxAnswerBytes
	}
	return o
}
