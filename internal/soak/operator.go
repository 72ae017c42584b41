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
	shop    = "shop"
	depot   = "depot" // may take over a route of shop
	letters = "letters"
)

const (
	host = "soak.example"
	// revokedWithin and changedWithin are the platform's bounds for a key that
	// was taken away and for any other change of the table.
	revokedWithin = 5 * time.Second
	changedWithin = 2500 * time.Millisecond
	// drainedWithin is the platform's bound for new work at a leaving target.
	drainedWithin = 2500 * time.Millisecond
	goal          = 500 * time.Millisecond
	maxTargets    = 3
	workspaces    = 3
	// targetSlots is more than all callers of the usual size ask for at once.
	targetSlots = 24
	// engineMemory (tokens) holds all prompts of a batch; tokensPerSecond is more
	// than the callers of the usual size ask for.
	engineMemory    = 100_000
	tokensPerSecond = 1_000_000
)

// engines is how targets of letters work: a prompt takes up to 50 ms to read.
var engines = &standin.EngineConfig{QueueLength: 24, PrefillTokensPerMillisecond: 20, Slowdown: 0.02, StepTime: targetTime, CachedParts: 64}

// routes are those of the table. Only notes moves between services.
var routes = []standin.Route{
	{Name: "status", Host: host, Prefix: "/status/", Service: shop, Kind: standin.Idempotent, Public: true, Timeout: plainTimeout, LatencyObjective: goal, MaxTargets: maxTargets},
	{Name: "notes", Host: host, Prefix: "/notes/", Service: shop, Kind: standin.Idempotent, Timeout: plainTimeout, LatencyObjective: goal, MaxTargets: maxTargets},
	{Name: "orders", Host: host, Prefix: "/orders/", Service: shop, Kind: standin.Once, Timeout: plainTimeout, LatencyObjective: goal, MaxTargets: maxTargets},
	{Name: "letters", Host: host, Prefix: "/letters/", Service: letters, Kind: standin.Stream, Timeout: streamTimeout, LatencyObjective: goal, MaxTargets: maxTargets, Affine: true},
	{Name: "talks", Host: host, Prefix: "/talks/", Service: letters, Kind: standin.ResumableStream, Timeout: streamTimeout, LatencyObjective: goal, MaxTargets: maxTargets, Affine: true},
}

// moving is the route that moves between services.
const moving = "notes"

// move is a service that the moving route had from a moment on.
type move struct {
	sent, acknowledged time.Time
	service            string
}

// operator changes the table and remembers when.
type operator struct {
	store   *standin.Store
	history *History

	mu      sync.Mutex
	table   standin.Table
	moves   []move
	revoked map[string]time.Time // by key: when the change was acknowledged
	owner   map[string]string    // workspace by key
}

// newOperator writes the first table.
func newOperator(store *standin.Store, history *History) (*operator, error) {
	o := &operator{store: store, history: history, revoked: make(map[string]time.Time), owner: make(map[string]string)}
	o.table = standin.Table{Version: 10, Routes: slices.Clone(routes), Workspaces: make(map[string][]string), SlotsPerTarget: targetSlots, EngineCacheTokens: map[string]int{letters: engineMemory}, TokensPerSecond: tokensPerSecond}
	for i := range workspaces {
		name := fmt.Sprintf("workspace-%d", i)
		for k := range 2 { // the first one stays
			o.addKey(name, fmt.Sprintf("key-%d-%d", i, k))
		}
	}
	o.moves = []move{{service: shop}}
	return o, store.PutTable(o.table)
}

func (o *operator) addKey(workspace, key string) {
	o.table.Workspaces[workspace] = append(o.table.Workspaces[workspace], key)
	o.owner[key] = workspace
}

// change writes the next version. From its begin until changedWithin after its
// acknowledgement, gates may differ in what they know.
func (o *operator) change() (acknowledged time.Time, err error) {
	known := o.history.Begin(Subject{What: PartTable})
	time.AfterFunc(changedWithin, known)
	o.table.Version += 3
	err = o.store.PutTable(o.table)
	return time.Now(), err
}

// move moves a route to the other of two services.
func (o *operator) move() error {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := move{sent: time.Now(), service: shop}
	if o.moves[len(o.moves)-1].service == shop {
		now.service = depot
	}
	for i := range o.table.Routes {
		if o.table.Routes[i].Name == moving {
			o.table.Routes[i].Service = now.service
		}
	}
	var err error
	now.acknowledged, err = o.change()
	o.moves = append(o.moves, now)
	return err
}

// revoke takes the last key of a workspace away and gives it another one.
func (o *operator) revoke(which int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	workspace := fmt.Sprintf("workspace-%d", which%workspaces)
	keys := o.table.Workspaces[workspace]
	old := keys[len(keys)-1]
	o.table.Workspaces[workspace] = keys[:len(keys)-1]
	o.addKey(workspace, fmt.Sprintf("key-%d-%d", which%workspaces, len(o.owner)))
	acknowledged, err := o.change()
	o.revoked[old] = acknowledged
	return err
}

// key returns a key for a call: one that stays, or one that was taken away if
// there is any and old is set.
func (o *operator) key(random *rand.Rand, old bool) (key string, revoked bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if old && len(o.revoked) > 0 {
		keys := make([]string, 0, len(o.revoked))
		for k := range o.revoked {
			keys = append(keys, k)
		}
		return keys[random.IntN(len(keys))], true
	}
	return fmt.Sprintf("key-%d-0", random.IntN(workspaces)), false
}

// allowed returns the services that may run a call of the moving route that was
// sent at start and ended at end, by a gate that knows each change in time.
func (o *operator) allowed(start, end time.Time) map[string]bool {
	services := make(map[string]bool)
	for i, m := range o.moves {
		replaced := i+1 < len(o.moves) && o.moves[i+1].acknowledged.Add(changedWithin).Before(start)
		if !replaced && m.sent.Before(end) {
			services[m.service] = true
		}
	}
	return services
}
