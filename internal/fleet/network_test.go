package fleet

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/target"
	"github.com/mastichollow/mastichollow/internal/transport"
	"github.com/mastichollow/mastichollow/internal/wire"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

// network is an in-memory network of nodes with a simulated platform. The
// address of a VM is its ID.
type network struct {
	t     *testing.T
	ctx   context.Context
	table *standin.Table

	mu           sync.Mutex
	vms          []target.VM
	vmsErr       error
	seeds        []string
	nodes        map[string]*testNode
	partition    func(from, to string) bool // reports whether messages are dropped
	platformDown map[string]bool            // nodes that cannot reach the platform, by VM ID
	sentBytes    map[[2]string]int          // by sender and receiver
}

// testNode is one process.
type testNode struct {
	*Node
	store *Store
	reg   *prometheus.Registry
	stop  context.CancelFunc
	done  chan struct{}

	mu     sync.Mutex
	totals []wire.PoolTotals
}

func newNetwork(t *testing.T) *network {
	ctx, cancel := context.WithCancel(context.Background())
	n := &network{
		t:            t,
		ctx:          ctx,
		table:        standin.NewTable(),
		nodes:        make(map[string]*testNode),
		partition:    func(string, string) bool { return false },
		platformDown: make(map[string]bool),
		sentBytes:    make(map[[2]string]int),
	}
	t.Cleanup(func() {
		cancel()
		for _, node := range n.nodes {
			<-node.done
		}
	})
	return n
}

// addRegion adds a region with one failure domain to the VM list.
func (n *network) addRegion(name string, routers, agents int) {
	for i := range routers {
		n.vms = append(n.vms, testVM(target.RoleRouter, name, i))
	}
	for i := range agents {
		n.vms = append(n.vms, testVM(target.RoleAgent, name, i))
	}
}

func testVM(role target.Role, region string, i int) target.VM {
	vm := target.VM{
		ID:     fmt.Sprintf("%s-%s-%d", region, role, i),
		Role:   role,
		Region: region,
		Domain: region + "-d1",
		State:  target.StateLive,
	}
	vm.Addr = vm.ID
	if role == target.RoleAgent {
		vm.Pool = "letter-writer"
	}
	return vm
}

// startAll starts a process on each VM.
func (n *network) startAll() {
	for i, vm := range n.vms {
		n.start(vm, uint64(i+1))
	}
}

// start starts a process without state.
func (n *network) start(vm target.VM, incarnation uint64) *testNode {
	node := &testNode{store: NewStore(), reg: prometheus.NewRegistry(), done: make(chan struct{})}
	cfg := NodeConfig{
		Self:        vm,
		Incarnation: incarnation,
		Store:       node.store,
		Table:       &nodeTable{TableService: n.table, n: n, id: vm.ID},
		VMs:         nodeVMList{n: n, id: vm.ID},
		Opener:      opener{n: n, from: vm},
		Seeds:       n.seeds,
		Registerer:  node.reg,
		Report:      node.report,
	}
	var err error
	node.Node, err = NewNode(cfg)
	require.NoError(n.t, err)
	var ctx context.Context
	ctx, node.stop = context.WithCancel(n.ctx)
	n.mu.Lock()
	n.nodes[vm.ID] = node
	n.mu.Unlock()
	go func() {
		defer close(node.done)
		_ = node.Run(ctx)
	}()
	return node
}

// kill stops a process and waits for its end.
func (n *network) kill(id string) {
	n.mu.Lock()
	node := n.nodes[id]
	delete(n.nodes, id)
	n.mu.Unlock()
	node.stop()
	<-node.done
}

func (n *testNode) report() []wire.PoolTotals {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.totals)
}

func (n *testNode) setTotals(pool string, totals ...wire.Total) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.totals = []wire.PoolTotals{{Pool: pool, Totals: totals}}
}

// setPartition drops messages and dials between nodes for which f is true.
func (n *network) setPartition(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partition = f
}

func (n *network) isPartitioned(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.partition(a, b)
}

// setPlatformDown makes the platform unreachable for nodes, or reachable again.
func (n *network) setPlatformDown(down bool, ids ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.platformDown[id] = down
	}
}

func (n *network) platformErrorFor(id string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.platformDown[id] {
		return errors.Wrapf(platform.ErrUnavailable, "%q cannot reach the platform", id)
	}
	return nil
}

// setState changes the state of a VM in the VM list.
func (n *network) setState(id string, state target.State) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = slices.Clone(n.vms)
	for i := range n.vms {
		if n.vms[i].ID == id {
			n.vms[i].State = state
		}
	}
}

// setVMs replaces the VM list.
func (n *network) setVMs(vms []target.VM) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.vms = vms
}

// commit writes a table with one more row to the table service and returns its
// version.
func (n *network) commit(name string) uint64 {
	old := workspace.NewTable()
	item, err := n.table.Get(n.ctx, platform.KeyTable)
	if err == nil {
		old, err = workspace.Decode(item.Value, item.Version)
		require.NoError(n.t, err)
	}
	row := workspace.Row{Name: name, Weight: 1, QueueLimit: 1, Pools: []string{"*"}}
	next, err := old.Apply(workspace.Change{ID: name, BaseVersion: old.Version, HasRows: true, Rows: []workspace.Row{row}})
	require.NoError(n.t, err)
	data, err := next.Encode()
	require.NoError(n.t, err)
	version, err := n.table.Commit(n.ctx,
		platform.Write{Key: platform.KeyTable, Value: data, If: item.Version},
		platform.Write{Key: platform.KeyTableVersion, Value: []byte(name), If: item.Version},
	)
	require.NoError(n.t, err)
	return version
}

// nodesExcept returns the running nodes whose IDs are not given.
func (n *network) nodesExcept(ids ...string) map[string]*testNode {
	n.mu.Lock()
	defer n.mu.Unlock()
	nodes := make(map[string]*testNode)
	for id, node := range n.nodes {
		if !slices.Contains(ids, id) {
			nodes[id] = node
		}
	}
	return nodes
}

// nodeTable is the table service as seen by one node.
type nodeTable struct {
	platform.TableService
	n  *network
	id string
}

func (r *nodeTable) Get(ctx context.Context, key string) (platform.Item, error) {
	if err := r.n.platformErrorFor(r.id); err != nil {
		return platform.Item{}, err
	}
	return r.TableService.Get(ctx, key)
}

func (r *nodeTable) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	if err := r.n.platformErrorFor(r.id); err != nil {
		return nil, err
	}
	return r.TableService.List(ctx, prefix)
}

func (r *nodeTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	if err := r.n.platformErrorFor(r.id); err != nil {
		return 0, err
	}
	return r.TableService.Commit(ctx, writes...)
}

// nodeVMList is the VM list as seen by one node.
type nodeVMList struct {
	n  *network
	id string
}

func (v nodeVMList) List(context.Context) ([]target.VM, error) {
	if err := v.n.platformErrorFor(v.id); err != nil {
		return nil, err
	}
	v.n.mu.Lock()
	defer v.n.mu.Unlock()
	return slices.Clone(v.n.vms), v.n.vmsErr
}

// opener opens in-memory streams to other nodes.
type opener struct {
	n    *network
	from target.VM
}

func (o opener) Forget(string) {}

func (o opener) Open(ctx context.Context, addr string) (transport.Stream, error) {
	o.n.mu.Lock()
	node := o.n.nodes[addr]
	o.n.mu.Unlock()
	if node == nil || o.n.isPartitioned(o.from.ID, addr) {
		<-ctx.Done()
		return nil, errors.Wrapf(transport.ErrUnreachable, "opening a stream to %q", addr)
	}
	a, b := transport.Pipe()
	peer := transport.Peer{Member: o.from.ID, Domain: o.from.Domain, Region: o.from.Region, Addr: o.from.Addr}
	go o.serve(node, peer, &lossyStream{Stream: b, n: o.n, from: addr, to: o.from.ID})
	return &lossyStream{Stream: a, n: o.n, from: o.from.ID, to: addr}, nil
}

func (o opener) serve(node *testNode, peer transport.Peer, s transport.Stream) {
	ctx, cancel := context.WithCancel(o.n.ctx)
	defer cancel()
	defer func() { _ = s.Close() }()
	go func() {
		select {
		case <-node.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	first, err := s.Recv(ctx)
	if err == nil {
		node.ServeStream(ctx, peer, first, s)
	}
}

// lossyStream silently drops sent messages while its ends are partitioned. It
// encodes and decodes each message.
type lossyStream struct {
	transport.Stream
	n        *network
	from, to string
}

func (l *lossyStream) Send(ctx context.Context, m wire.Message) error {
	if l.n.isPartitioned(l.from, l.to) {
		return nil
	}
	frame, err := wire.Append(nil, m)
	require.NoError(l.n.t, err)
	l.n.mu.Lock()
	l.n.sentBytes[[2]string{l.from, l.to}] += len(frame)
	l.n.mu.Unlock()
	copied, err := wire.Decode(m.Type(), frame[5:])
	require.NoError(l.n.t, err)
	return l.Stream.Send(ctx, copied)
}

// eventually waits in virtual time until ok returns true and returns how long
// that took. It fails the test after limit.
func eventually(t *testing.T, limit time.Duration, description string, ok func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			t.Fatalf("%s: not within %s", description, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// allAtVersion returns a condition that holds when each of nodes has at least
// version in force.
func allAtVersion(nodes map[string]*testNode, version uint64) func() bool {
	return func() bool {
		for _, node := range nodes {
			if node.tableVersion() < version {
				return false
			}
		}
		return true
	}
}
