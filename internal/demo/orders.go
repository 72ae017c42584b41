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

	"github.com/mastichollow/mastichollow/internal/standin"
)

const (
	order      = "order-1"
	pathOrders = "/services/shop-api/orders"
)

// repeatedOrder sends one order through all routers at once, with one key, and
// checks that it ran once and that no answer says otherwise.
func (d *Demo) repeatedOrder(ctx context.Context) {
	key := uuid.NewString()
	answers := make([]string, len(d.cfg.Routers))
	var calls sync.WaitGroup
	for i, router := range d.cfg.Routers {
		calls.Go(func() { answers[i] = d.place(ctx, router, key) })
	}
	calls.Wait()
	// Those that came while the first was running are told so; sent again,
	// they get its answer.
	for i, router := range d.cfg.Routers {
		if strings.Contains(answers[i], "409") {
			answers[i] = d.place(ctx, router, key)
		}
	}
	slices.Sort(answers)
	answers = slices.Compact(answers)
	d.check("order sent through three routers", "status 201, count 1", strings.Join(answers, " | "), nil)
	runs, err := d.runs(ctx, d.cfg.Service)
	count := 0
	for _, r := range runs {
		if r.Name == order {
			count++
		}
	}
	d.check("runs of the order at the target", "1", fmt.Sprint(count), err)
}

// place places the order and returns what the caller is told.
func (d *Demo) place(ctx context.Context, router, key string) string {
	resp, err := d.post(ctx, router+pathOrders, d.cfg.ShopKey, `{"order":"`+order+`"}`, map[string]string{"Idempotency-Key": key})
	if err != nil {
		return "error: " + err.Error()
	}
	defer resp.Body.Close()
	var placed standin.OrderStatus
	if err := json.NewDecoder(resp.Body).Decode(&placed); err != nil {
		return fmt.Sprintf("status %d", resp.StatusCode)
	}
	return fmt.Sprintf("status %d, count %d", resp.StatusCode, placed.Count)
}

// status reads the order's status, which may be repeated.
func (d *Demo) status(ctx context.Context) {
	resp, err := d.send(ctx, http.MethodGet, d.cfg.Routers[2]+pathOrders+"/"+order, d.cfg.ShopKey, "", nil)
	if err != nil {
		d.check("order status", "count 1", "", err)
		return
	}
	defer resp.Body.Close()
	var status standin.OrderStatus
	err = json.NewDecoder(resp.Body).Decode(&status)
	d.check("order status", "count 1", fmt.Sprintf("count %d", status.Count), err)
}

// refusals checks that what is not allowed never reaches a target.
func (d *Demo) refusals(ctx context.Context) {
	cases := []struct{ name, key, path, want string }{
		{"unknown API key", "nobody", pathOrders, "401"},
		{"service not allowed", d.cfg.LettersKey, pathOrders, "403"},
		{"unknown service", d.cfg.ShopKey, "/services/none/orders", "404"},
	}
	for _, c := range cases {
		resp, err := d.post(ctx, d.cfg.Routers[0]+c.path, c.key, `{"order":"never"}`, nil)
		seen := ""
		if err == nil {
			seen = fmt.Sprint(resp.StatusCode)
			resp.Body.Close()
		}
		d.check(c.name, c.want, seen, err)
	}
	runs, err := d.runs(ctx, d.cfg.Service)
	never := slices.ContainsFunc(runs, func(r standin.Run) bool { return r.Name == "never" })
	d.check("refused orders at the target", "false", fmt.Sprint(never), err)
}

// runs returns what ran at a target.
func (d *Demo) runs(ctx context.Context, admin string) ([]standin.Run, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, admin+standin.PathRuns, nil)
	if err != nil {
		return nil, err
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Newf("runs of %s: status %d", admin, resp.StatusCode)
	}
	var runs []standin.Run
	err = json.NewDecoder(resp.Body).Decode(&runs)
	return runs, err
}
