package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/mastichollow/mastichollow/platform/standin"
)

// Services of the soak's targets.
const (
	shopService    = "shop"
	depotService   = "depot" // movingRoute alternates between shop and depot
	lettersService = "letters"
)

const (
	host = "soak.example"
	// maxRevocationDelay and maxChangeDelay are the bounds of the platform for a
	// revoked key and for any other change of the table to take effect.
	maxRevocationDelay = 5 * time.Second
	maxChangeDelay     = 2500 * time.Millisecond
	// maxDrainDelay is the bound of the platform for the last new work at a draining
	// target.
	maxDrainDelay     = 2500 * time.Millisecond
	latencyObjective  = 500 * time.Millisecond
	maxTargetsPerCall = 3
	workspaceCount    = 3
	// targetSlots exceeds the concurrent calls of all callers at the default size.
	targetSlots = 24
	// engineCacheTokens holds all prompts of a batch. tokensPerSecond exceeds the
	// demand of the callers at the default size.
	engineCacheTokens = 100_000
	tokensPerSecond   = 1_000_000
)

// engineConfig configures the targets of the letters service: prefill takes up to 50
// ms.
var engineConfig = &standin.EngineConfig{QueueLength: 24, PrefillTokensPerMillisecond: 20, Slowdown: 0.02, StepTime: targetStepTime, CachedParts: 64}

// routes are the routes of the table. Only movingRoute moves between services.
var routes = []standin.Route{
	{Name: "status", Host: host, Prefix: "/status/", Service: shopService, Kind: standin.Idempotent, Public: true, Timeout: plainTimeout, LatencyObjective: latencyObjective, MaxTargets: maxTargetsPerCall},
	{Name: "notes", Host: host, Prefix: "/notes/", Service: shopService, Kind: standin.Idempotent, Timeout: plainTimeout, LatencyObjective: latencyObjective, MaxTargets: maxTargetsPerCall},
	{Name: "orders", Host: host, Prefix: "/orders/", Service: shopService, Kind: standin.AtMostOnce, Timeout: plainTimeout, LatencyObjective: latencyObjective, MaxTargets: maxTargetsPerCall},
	{Name: "letters", Host: host, Prefix: "/letters/", Service: lettersService, Kind: standin.Stream, Timeout: streamTimeout, LatencyObjective: latencyObjective, MaxTargets: maxTargetsPerCall, PrefixAffinity: true},
	{Name: "talks", Host: host, Prefix: "/talks/", Service: lettersService, Kind: standin.ResumableStream, Timeout: streamTimeout, LatencyObjective: latencyObjective, MaxTargets: maxTargetsPerCall, PrefixAffinity: true},
}

// movingRoute is the name of the route that moves between services.
const movingRoute = "notes"

// serviceAssignment is a service to which movingRoute was assigned, from one point in
// time on.
type serviceAssignment struct {
	// sentAt and acknowledgedAt are the times of the write to the store; zero for the
	// initial assignment.
	sentAt, acknowledgedAt time.Time
	service                string
}

// operator changes the table and records when.
type operator struct {
	store   *standin.Store
	history *History

	mu             sync.Mutex
	table          standin.Table
	assignments    []serviceAssignment
	revokedAt      map[string]time.Time // by key: when the store acknowledged the revocation
	workspaceByKey map[string]string
}

// newOperator writes the initial table.
func newOperator(store *standin.Store, history *History) (*operator, error) {
	o := &operator{store: store, history: history, revokedAt: make(map[string]time.Time), workspaceByKey: make(map[string]string)}
	o.table = standin.Table{Version: 10, Routes: slices.Clone(routes), Workspaces: make(map[string][]string), SlotsPerTarget: targetSlots, EngineCacheTokens: map[string]int{lettersService: engineCacheTokens}, TokensPerSecond: tokensPerSecond}
	for i := range workspaceCount {
		name := fmt.Sprintf("workspace-%d", i)
		for k := range 2 { // the first key is never revoked
			o.addKey(name, fmt.Sprintf("key-%d-%d", i, k))
		}
	}
	o.assignments = []serviceAssignment{{service: shopService}}
	return o, store.PutTable(o.table)
}

func (o *operator) addKey(workspace, key string) {
	o.table.Workspaces[workspace] = append(o.table.Workspaces[workspace], key)
	o.workspaceByKey[key] = workspace
}

// writeTable writes the next version of the table. From the start of the write until
// maxChangeDelay after its start, gates may hold different versions.
func (o *operator) writeTable() (acknowledgedAt time.Time, err error) {
	endDisruption := o.history.BeginDisruption(Subject{Part: PartTableChange})
	time.AfterFunc(maxChangeDelay, endDisruption)
	o.table.Version += 3
	err = o.store.PutTable(o.table)
	return time.Now(), err
}

// moveRoute assigns movingRoute to the other one of its two services.
func (o *operator) moveRoute() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := serviceAssignment{sentAt: time.Now(), service: shopService}
	if o.assignments[len(o.assignments)-1].service == shopService {
		next.service = depotService
	}
	for i := range o.table.Routes {
		if o.table.Routes[i].Name == movingRoute {
			o.table.Routes[i].Service = next.service
		}
	}
	var err error
	next.acknowledgedAt, err = o.writeTable()
	o.assignments = append(o.assignments, next)
	return err
}

// revokeKey revokes the last key of a workspace and adds a new one.
func (o *operator) revokeKey(index int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	workspace := fmt.Sprintf("workspace-%d", index%workspaceCount)
	keys := o.table.Workspaces[workspace]
	old := keys[len(keys)-1]
	o.table.Workspaces[workspace] = keys[:len(keys)-1]
	o.addKey(workspace, fmt.Sprintf("key-%d-%d", index%workspaceCount, len(o.workspaceByKey)))
	acknowledgedAt, err := o.writeTable()
	o.revokedAt[old] = acknowledgedAt
	return err
}

// chooseKey returns a random key for a call: a revoked one if wantRevoked is set and
// there is any, otherwise one that is never revoked.
func (o *operator) chooseKey(random *rand.Rand, wantRevoked bool) (key string, revoked bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if wantRevoked && len(o.revokedAt) > 0 {
		keys := make([]string, 0, len(o.revokedAt))
		for k := range o.revokedAt {
			keys = append(keys, k)
		}
		return keys[random.IntN(len(keys))], true
	}
	return fmt.Sprintf("key-%d-0", random.IntN(workspaceCount)), false
}

// allowedServices returns the services that may run a call of movingRoute sent at
// start and ended at end, if the gate applies each change in time.
func (o *operator) allowedServices(start, end time.Time) map[string]bool {
	services := make(map[string]bool)
	for i, a := range o.assignments {
		replaced := i+1 < len(o.assignments) && o.assignments[i+1].acknowledgedAt.Add(maxChangeDelay).Before(start)
		if !replaced && a.sentAt.Before(end) {
			services[a.service] = true
		}
	}
	return services
}
