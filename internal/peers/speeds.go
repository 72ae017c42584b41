package peers

import "github.com/mastichollow/mastichollow/internal/pace"

// speedMessage is the wire format of a pace.Estimate.
type speedMessage struct {
	_             struct{} `cbor:",toarray"`
	TargetStarted int64    // Unix milliseconds
	Log           int64    // natural logarithm of the relative service time, thousandths
	Weight        int64    // observations behind it
}

func encodeSpeeds(reported map[string]map[string]pace.Estimate) map[string]map[string]speedMessage {
	if len(reported) == 0 {
		return nil
	}
	encoded := make(map[string]map[string]speedMessage, len(reported))
	for service, estimates := range reported {
		messages := make(map[string]speedMessage, len(estimates))
		for id, e := range estimates {
			messages[id] = speedMessage{TargetStarted: e.Started, Log: int64(e.Log * fixedPointScale), Weight: int64(e.Weight)}
		}
		encoded[service] = messages
	}
	return encoded
}

func decodeSpeeds(encoded map[string]map[string]speedMessage) map[string]map[string]pace.Estimate {
	if len(encoded) == 0 {
		return nil
	}
	reported := make(map[string]map[string]pace.Estimate, len(encoded))
	for service, messages := range encoded {
		estimates := make(map[string]pace.Estimate, len(messages))
		for id, m := range messages {
			estimates[id] = pace.Estimate{Started: m.TargetStarted, Log: float64(m.Log) / fixedPointScale, Weight: float64(m.Weight)}
		}
		reported[service] = estimates
	}
	return reported
}
