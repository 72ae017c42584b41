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

// network is an in-memory network of nodes with a platform. Addresses are VM
// IDs.
type network struct {
	t     *testing.T
	ctx   context.Context
	table *standin.Table

	mu     sync.Mutex
	vms    []target.VM
	vmsErr error
	nodes  map[string]*testNode
	cut    func(from, to string) bool // whether nothing passes
	apart  map[string]bool            // nodes that do not reach the platform
	bytes  map[[2]string]int          // sent from one node to another
}

// testNode is one process.
type testNode struct {
	*Node
	store *Store
	reg   *prometheus.Registry
	stop  context.CancelFunc
	done  chan struct{}

	mu   sync.Mutex
	sums []wire.PoolSums
}

func newNetwork(t *testing.T) *network {
	ctx, cancel := context.WithCancel(context.Background())
	n := &network{
		t:     t,
		ctx:   ctx,
		table: standin.NewTable(),
		nodes: make(map[string]*testNode),
		cut:   func(string, string) bool { return false },
		apart: make(map[string]bool),
		bytes: make(map[[2]string]int),
	}
	t.Cleanup(func() {
		cancel()
		for _, node := range n.nodes {
			<-node.done
		}
	})
	return n
}

// region adds to the VM list a region of one failure domain.
func (n *network) region(name string, routers, agents int) {
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

// start starts a process with nothing in memory.
func (n *network) start(vm target.VM, incarnation uint64) *testNode {
	node := &testNode{store: NewStore(), reg: prometheus.NewRegistry(), done: make(chan struct{})}
	cfg := NodeConfig{
		Self:        vm,
		Incarnation: incarnation,
		Store:       node.store,
		Table:       &reach{TableService: n.table, n: n, id: vm.ID},
		VMs:         vmList{n: n, id: vm.ID},
		Opener:      opener{n: n, from: vm},
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

// kill ends a process.
func (n *network) kill(id string) {
	n.mu.Lock()
	node := n.nodes[id]
	delete(n.nodes, id)
	n.mu.Unlock()
	node.stop()
	<-node.done
}

func (n *testNode) report() []wire.PoolSums {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.sums)
}

func (n *testNode) setSums(pool string, sums ...wire.Sum) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.sums = []wire.PoolSums{{Pool: pool, Sums: sums}}
}

// setCut makes nothing pass between nodes for which f is true.
func (n *network) setCut(f func(from, to string) bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut = f
}

func (n *network) isCut(a, b string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut(a, b)
}

// setApart cuts nodes off from the platform, or joins them again.
func (n *network) setApart(apart bool, ids ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, id := range ids {
		n.apart[id] = apart
	}
}

func (n *network) reaches(id string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.apart[id] {
		return errors.Wrapf(platform.ErrUnavailable, "%q is cut off", id)
	}
	return nil
}

// setState changes a VM's state in the list.
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

// commit puts a table with one row in the table service.
func (n *network) commit(name string) uint64 {
	old := workspace.New()
	item, err := n.table.Get(n.ctx, platform.KeyTable)
	if err == nil {
		old, err = workspace.Decode(item.Value, item.Version)
		require.NoError(n.t, err)
	}
	row := workspace.Row{Name: name, Weight: 1, QueueLimit: 1, Pools: []string{"*"}}
	next, err := old.Apply(workspace.Change{ID: name, Against: old.Version, HasRows: true, Rows: []workspace.Row{row}})
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

// without returns the nodes whose IDs are not listed.
func (n *network) without(ids ...string) map[string]*testNode {
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

// reach is the table service as one node reaches it.
type reach struct {
	platform.TableService
	n  *network
	id string
}

func (r *reach) Get(ctx context.Context, key string) (platform.Item, error) {
	if err := r.n.reaches(r.id); err != nil {
		return platform.Item{}, err
	}
	return r.TableService.Get(ctx, key)
}

func (r *reach) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	if err := r.n.reaches(r.id); err != nil {
		return nil, err
	}
	return r.TableService.List(ctx, prefix)
}

func (r *reach) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	if err := r.n.reaches(r.id); err != nil {
		return 0, err
	}
	return r.TableService.Commit(ctx, writes...)
}

// vmList is the VM list as one node reaches it.
type vmList struct {
	n  *network
	id string
}

func (v vmList) List(context.Context) ([]target.VM, error) {
	if err := v.n.reaches(v.id); err != nil {
		return nil, err
	}
	v.n.mu.Lock()
	defer v.n.mu.Unlock()
	return slices.Clone(v.n.vms), v.n.vmsErr
}

// opener opens pipes to other nodes.
type opener struct {
	n    *network
	from target.VM
}

func (o opener) Forget(string) {}

func (o opener) Open(ctx context.Context, addr string) (transport.Stream, error) {
	o.n.mu.Lock()
	node := o.n.nodes[addr]
	o.n.mu.Unlock()
	if node == nil || o.n.isCut(o.from.ID, addr) {
		<-ctx.Done()
		return nil, errors.Wrapf(transport.ErrUnreachable, "opening a stream to %q", addr)
	}
	a, b := transport.Pipe()
	peer := transport.Peer{Member: o.from.ID, Domain: o.from.Domain, Region: o.from.Region, Addr: o.from.Addr}
	go o.serve(node, peer, &lossy{Stream: b, n: o.n, from: addr, to: o.from.ID})
	return &lossy{Stream: a, n: o.n, from: o.from.ID, to: addr}, nil
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

// lossy drops what is sent while its ends are cut off, without a sign of it.
// Each message passes through its encoding.
type lossy struct {
	transport.Stream
	n        *network
	from, to string
}

func (l *lossy) Send(ctx context.Context, m wire.Message) error {
	if l.n.isCut(l.from, l.to) {
		return nil
	}
	frame, err := wire.Append(nil, m)
	require.NoError(l.n.t, err)
	l.n.mu.Lock()
	l.n.bytes[[2]string{l.from, l.to}] += len(frame)
	l.n.mu.Unlock()
	copied, err := wire.Decode(m.Type(), frame[5:])
	require.NoError(l.n.t, err)
	return l.Stream.Send(ctx, copied)
}

// eventually waits in virtual time until ok holds and returns how long it
// took, or fails the test after limit.
func eventually(t *testing.T, limit time.Duration, what string, ok func() bool) time.Duration {
	t.Helper()
	started := time.Now()
	for !ok() {
		if time.Since(started) > limit {
			t.Fatalf("%s: not within %s", what, limit)
		}
		time.Sleep(10 * time.Millisecond)
	}
	return time.Since(started)
}

// inForce reports whether each of nodes has version in force.
func inForce(nodes map[string]*testNode, version uint64) func() bool {
	return func() bool {
		for _, node := range nodes {
			if node.version() < version {
				return false
			}
		}
		return true
	}
}
