package peers

import (
	"time"

	"github.com/mastichollow/mastichollow/internal/admission"
)

// limitMessage is the wire format of an admission.LimitReport.
type limitMessage struct {
	_             struct{} `cbor:",toarray"`
	TargetStarted int64    // Unix milliseconds
	PerSecond     float64
	NamedMillis   int64 // time since the limit was named; negative: never
	EndedMillis   int64 // time since a request was sent whose response named none; negative: never
	Demand        float64
}

func encodeLimits(reported map[string]admission.LimitReport) map[string]limitMessage {
	if len(reported) == 0 {
		return nil
	}
	encoded := make(map[string]limitMessage, len(reported))
	for id, r := range reported {
		encoded[id] = limitMessage{
			TargetStarted: r.TargetStarted, PerSecond: r.PerSecond, Demand: r.Demand,
			NamedMillis: encodeOptionalAge(r.NamedAge), EndedMillis: encodeOptionalAge(r.EndedAge),
		}
	}
	return encoded
}

func decodeLimits(encoded map[string]limitMessage) map[string]admission.LimitReport {
	if len(encoded) == 0 {
		return nil
	}
	reported := make(map[string]admission.LimitReport, len(encoded))
	for id, m := range encoded {
		reported[id] = admission.LimitReport{
			TargetStarted: m.TargetStarted, PerSecond: m.PerSecond, Demand: m.Demand,
			NamedAge: decodeOptionalAge(m.NamedMillis), EndedAge: decodeOptionalAge(m.EndedMillis),
		}
	}
	return reported
}

// encodeOptionalAge returns an age in milliseconds, -1 for a negative one.
func encodeOptionalAge(age time.Duration) int64 {
	if age < 0 {
		return -1
	}
	return age.Milliseconds()
}

func decodeOptionalAge(millis int64) time.Duration {
	if millis < 0 {
		return -1
	}
	return decodeAge(millis)
}
