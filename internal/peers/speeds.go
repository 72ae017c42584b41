package peers

import "github.com/mastichollow/mastichollow/internal/pace"

// speedsMessage is the wire format of a pace.ServiceReport.
type speedsMessage struct {
	_       struct{} `cbor:",toarray"`
	Uneven  bool
	Targets map[string]speedMessage
}

// speedMessage is the wire format of a pace.Estimate.
type speedMessage struct {
	_             struct{} `cbor:",toarray"`
	TargetStarted int64    // Unix milliseconds
	Log           int64    // natural logarithm of the relative service time, thousandths
	Weight        int64    // observations behind it
}

func encodeSpeeds(reported map[string]pace.ServiceReport) map[string]speedsMessage {
	if len(reported) == 0 {
		return nil
	}
	encoded := make(map[string]speedsMessage, len(reported))
	for service, r := range reported {
		m := speedsMessage{Uneven: r.Uneven, Targets: make(map[string]speedMessage, len(r.Targets))}
		for id, e := range r.Targets {
			m.Targets[id] = speedMessage{TargetStarted: e.Started, Log: int64(e.Log * fixedPointScale), Weight: int64(e.Weight)}
		}
		encoded[service] = m
	}
	return encoded
}

func decodeSpeeds(encoded map[string]speedsMessage) map[string]pace.ServiceReport {
	if len(encoded) == 0 {
		return nil
	}
	reported := make(map[string]pace.ServiceReport, len(encoded))
	for service, m := range encoded {
		r := pace.ServiceReport{Uneven: m.Uneven, Targets: make(map[string]pace.Estimate, len(m.Targets))}
		for id, e := range m.Targets {
			r.Targets[id] = pace.Estimate{Started: e.TargetStarted, Log: float64(e.Log) / fixedPointScale, Weight: float64(e.Weight)}
		}
		reported[service] = r
	}
	return reported
}
