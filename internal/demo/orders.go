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
	orderName  = "order-1"
	ordersPath = "/services/" + caller.ServicePool + "/orders"
)

// checkRepeatedOrder sends one order through all routers concurrently under one
// idempotency key. It checks that the order ran once and that all responses agree.
func (d *Demo) checkRepeatedOrder(ctx context.Context) {
	key := uuid.NewString()
	responses := make([]caller.Response, len(d.cfg.RouterURLs))
	var calls sync.WaitGroup
	for i, router := range d.cfg.RouterURLs {
		calls.Go(func() { responses[i] = d.serviceCaller.PlaceOrder(ctx, router, key, orderName) })
	}
	calls.Wait()
	var actual []string
	for i, r := range responses {
		if r.Status == http.StatusConflict {
			// The first submission was still running. A retry gets its response.
			r = d.serviceCaller.PlaceOrder(ctx, d.cfg.RouterURLs[i], key, orderName)
		}
		actual = append(actual, orderStatus(r))
	}
	slices.Sort(actual)
	d.addCheck("order sent through three routers", "status 201, count 1", strings.Join(slices.Compact(actual), " | "), nil)
	runs, err := d.runs(ctx, d.cfg.ServiceAdminURL)
	d.addCheck("runs of the order at the target", "1", fmt.Sprint(countRuns(runs, orderName)), err)
}

// orderStatus formats what a response says about the order.
func orderStatus(r caller.Response) string {
	var status standin.OrderStatus
	if r.Err != nil || json.Unmarshal([]byte(r.Text), &status) != nil {
		return r.String()
	}
	return fmt.Sprintf("status %d, count %d", r.Status, status.Count)
}

// checkOrderStatus reads the status of the order, a repeatable request.
func (d *Demo) checkOrderStatus(ctx context.Context) {
	r := d.serviceCaller.Send(ctx, http.MethodGet, d.cfg.RouterURLs[2]+ordersPath+"/"+orderName, "", "")
	d.addCheck("order status", "status 200, count 1", orderStatus(r), r.Err)
}

// checkRefusals checks that requests that are not allowed never reach a target.
func (d *Demo) checkRefusals(ctx context.Context) {
	unknownCaller := caller.Caller{Key: "nobody", Timeout: callTimeout}
	cases := []struct {
		name string
		by   caller.Caller
		path string
		want string
	}{
		{"unknown API key", unknownCaller, ordersPath, "401"},
		{"service not allowed", d.modelCaller, ordersPath, "403"},
		{"unknown service", d.serviceCaller, "/services/none/orders", "404"},
	}
	for _, c := range cases {
		r := c.by.Send(ctx, http.MethodPost, d.cfg.RouterURLs[0]+c.path, "", `{"order":"never"}`)
		d.addCheck(c.name, c.want, fmt.Sprint(r.Status), r.Err)
	}
	runs, err := d.runs(ctx, d.cfg.ServiceAdminURL)
	d.addCheck("refused orders at the target", "0", fmt.Sprint(countRuns(runs, "never")), err)
}

// runs returns the runs at a target; admin is the base URL of its admin interface.
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

// countRuns counts the runs of the given name.
func countRuns(runs []standin.Execution, name string) int {
	n := 0
	for _, r := range runs {
		if r.Name == name {
			n++
		}
	}
	return n
}
