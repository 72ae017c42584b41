package experiment

import "time"

const (
	// pollPeriod is the time between reads of the table by a relay.
	pollPeriod = time.Second
	// readTime is the time of a read of the table service.
	readTime = 50 * time.Millisecond
	// resendTime is the time after which a lost message comes again.
	resendTime = 300 * time.Millisecond
	// changes is the number of changes of the table that are followed.
	changes = 200
)

// configInForce returns the longest time of a change of the table until it is
// in force in every process that the platform reaches: relays poll the table
// and pass it on, on streams that repeat what is lost.
func (w *world) configInForce() float64 {
	longest := time.Duration(0)
	for range changes {
		for region := range w.deployment.Regions {
			at := w.jitter(pollPeriod) + readTime
			for range w.agentsIn(region) + w.routersIn(region) {
				longest = max(longest, at+w.deployment.Near+w.resends())
			}
		}
	}
	return longest.Seconds()
}

// resends draws the time that lost copies of a message take.
func (w *world) resends() time.Duration {
	d := time.Duration(0)
	for w.chance(w.scenario.Loss) {
		d += resendTime
	}
	return d
}
