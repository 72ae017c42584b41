package experiment

import "time"

const (
	// tablePollPeriod is the interval at which a relay reads the table.
	tablePollPeriod = time.Second
	// tableReadTime is the duration of a read from the table service.
	tableReadTime = 50 * time.Millisecond
	// resendTimeout is the time after which a lost message is sent again.
	resendTimeout = 300 * time.Millisecond
	// simulatedChanges is the number of simulated changes of the table.
	simulatedChanges = 200
)

// maxConfigDelay returns the longest time, in seconds, until a change of the table is
// applied by every process that the platform reaches: relays poll the table and forward
// it on streams, which retransmit lost data.
func (sim *simulation) maxConfigDelay() float64 {
	longest := time.Duration(0)
	for range simulatedChanges {
		for region := range sim.deployment.Regions {
			at := sim.jitter(tablePollPeriod) + tableReadTime
			for range sim.agentsIn(region) + sim.routersIn(region) {
				longest = max(longest, at+sim.deployment.LocalDelay+sim.resendDelay())
			}
		}
	}
	return longest.Seconds()
}

// resendDelay draws the delay of a message by the loss of earlier copies.
func (sim *simulation) resendDelay() time.Duration {
	d := time.Duration(0)
	for sim.chance(sim.scenario.LossRate) {
		d += resendTimeout
	}
	return d
}
