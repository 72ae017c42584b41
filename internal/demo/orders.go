package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"

	"github.com/mastichollow/mastichollow/internal/caller"
	"github.com/mastichollow/mastichollow/internal/standin"
)

const (
	order      = "order-1"
	pathOrders = "/services/" + caller.Shop + "/orders"
)

// repeatedOrder sends one order through all routers at once, with one key, and
// checks that it ran once and that no answer says otherwise.
func (d *Demo) repeatedOrder(ctx context.Context) {
	key := uuid.NewString()
	replies := make([]caller.Reply, len(d.cfg.Routers))
	var calls sync.WaitGroup
	for i, router := range d.cfg.Routers {
		calls.Go(func() { replies[i] = d.shop.Order(ctx, router, key, order) })
	}
	calls.Wait()
	var seen []string
	for i, r := range replies {
		if r.Status == http.StatusConflict {
			// It came while the first was running; sent again, it gets the
			// first one's answer.
			r = d.shop.Order(ctx, d.cfg.Routers[i], key, order)
		}
		seen = append(seen, orderStatus(r))
	}
	slices.Sort(seen)
	d.check("order sent through three routers", "status 201, count 1", strings.Join(slices.Compact(seen), " | "), nil)
	runs, err := d.runs(ctx, d.cfg.Service)
	d.check("runs of the order at the target", "1", fmt.Sprint(countRuns(runs, order)), err)
}

// orderStatus returns what a reply says of the order.
func orderStatus(r caller.Reply) string {
	var status standin.OrderStatus
	if r.Err != nil || json.Unmarshal([]byte(r.Text), &status) != nil {
		return r.String()
	}
	return fmt.Sprintf("status %d, count %d", r.Status, status.Count)
}

// status reads the order's status, which may be repeated.
func (d *Demo) status(ctx context.Context) {
	r := d.shop.Send(ctx, http.MethodGet, d.cfg.Routers[2]+pathOrders+"/"+order, "", "")
	d.check("order status", "status 200, count 1", orderStatus(r), r.Err)
}

// refusals checks that what is not allowed never reaches a target.
func (d *Demo) refusals(ctx context.Context) {
	nobody := caller.Caller{Key: "nobody", Timeout: callTimeout}
	cases := []struct {
		name string
		by   caller.Caller
		path string
		want string
	}{
		{"unknown API key", nobody, pathOrders, "401"},
		{"service not allowed", d.letters, pathOrders, "403"},
		{"unknown service", d.shop, "/services/none/orders", "404"},
	}
	for _, c := range cases {
		r := c.by.Send(ctx, http.MethodPost, d.cfg.Routers[0]+c.path, "", `{"order":"never"}`)
		d.check(c.name, c.want, fmt.Sprint(r.Status), r.Err)
	}
	runs, err := d.runs(ctx, d.cfg.Service)
	d.check("refused orders at the target", "0", fmt.Sprint(countRuns(runs, "never")), err)
}

// runs returns what ran at a target.
func (d *Demo) runs(ctx context.Context, admin string) ([]standin.Execution, error) {
	r := caller.Caller{Timeout: callTimeout}.Send(ctx, http.MethodGet, admin+standin.PathRuns, "", "")
	if r.Err != nil {
		return nil, r.Err
	}
	if r.Status != http.StatusOK {
		return nil, errors.Newf("runs of %s: status %d", admin, r.Status)
	}
	var runs []standin.Execution
	err := json.Unmarshal([]byte(r.Text), &runs)
	return runs, errors.Wrapf(err, "runs of %s", admin)
}

// countRuns returns how often name ran.
func countRuns(runs []standin.Execution, name string) int {
	n := 0
	for _, r := range runs {
		if r.Name == name {
			n++
		}
	}
	return n
}
