package standin

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/target"
)

// Platform is a stand-in for the platform's table service, object store and VM list, with
// their HTTP interface.
type Platform struct {
	Table   *Table
	Objects *Objects
	VMs     *VMs
	faults  FaultState
	host    *Host
}

// NewPlatform returns a platform whose Host listens on addr.
func NewPlatform(addr string) (*Platform, error) {
	p := &Platform{Table: NewTable(), Objects: NewObjects(), VMs: NewVMs()}
	p.Table.SetFault(func(op, key string) Fault { return p.faults.callFault(op == "commit", key) })
	p.Objects.SetFault(func(op, key string) Fault { return p.faults.callFault(op == "put", key) })
	app := newApp()
	app.Use(func(ctx iris.Context) { p.faults.delayCall(); ctx.Next() })
	app.Get(platform.PathItem, p.getItem)
	app.Get(platform.PathItems, p.listItems)
	app.Post(platform.PathTransactions, p.commit)
	app.Get(platform.PathObject, p.getObject)
	app.Put(platform.PathObject, p.putObject)
	app.Get(platform.PathVMs, p.listVMs)
	host, err := newAppHost(addr, app)
	p.host = host
	return p, err
}

// Host returns the host that serves the platform.
func (p *Platform) Host() *Host { return p.host }

// Faults returns the active faults of the platform.
func (p *Platform) Faults() Faults { return p.faults.Get() }

// SetFaults replaces the active faults. Crash and Blackhole act immediately.
func (p *Platform) SetFaults(f Faults) {
	p.faults.Set(f)
	lag := time.Duration(f.VMLagMS) * time.Millisecond
	p.VMs.SetFaults(lag, f.VMFreeze, f.Down && f.KeyPrefix == "")
	if f.Blackhole {
		p.host.Blackhole()
	}
	if f.Crash {
		p.host.Crash(f.restartDuration())
	}
}

func (p *Platform) getItem(ctx iris.Context) {
	item, err := p.Table.Get(ctx.Request().Context(), ctx.URLParam("key"))
	sendResult(ctx, item, err)
}

func (p *Platform) listItems(ctx iris.Context) {
	items, err := p.Table.List(ctx.Request().Context(), ctx.URLParam("prefix"))
	sendResult(ctx, platform.Items{Items: items}, err)
}

func (p *Platform) commit(ctx iris.Context) {
	var transaction platform.Transaction
	if !decodeStrict(ctx, &transaction) {
		return
	}
	version, err := p.Table.Commit(ctx.Request().Context(), transaction.Writes...)
	sendResult(ctx, platform.Committed{Version: version}, err)
}

func (p *Platform) getObject(ctx iris.Context) {
	data, err := p.Objects.Get(ctx.Request().Context(), ctx.URLParam("key"))
	if err != nil {
		sendStoreError(ctx, err)
		return
	}
	ctx.ContentType("application/octet-stream")
	_, _ = ctx.Write(data)
}

func (p *Platform) putObject(ctx iris.Context) {
	data, err := io.ReadAll(io.LimitReader(ctx.Request().Body, maxRequestBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if err := p.Objects.Put(ctx.Request().Context(), ctx.URLParam("key"), data); err != nil {
		sendStoreError(ctx, err)
		return
	}
	ctx.StatusCode(http.StatusNoContent)
}

func (p *Platform) listVMs(ctx iris.Context) {
	vms, err := p.VMs.List(ctx.Request().Context())
	if vms == nil {
		vms = []target.VM{}
	}
	sendResult(ctx, platform.VMs{VMs: vms}, err)
}

// sendResult responds with v, or with the status for err.
func sendResult(ctx iris.Context, v any, err error) {
	if err != nil {
		sendStoreError(ctx, err)
		return
	}
	_ = ctx.JSON(v)
}

// sendStoreError responds with the status for err. For platform.ErrUncertain it closes the
// connection without a response.
func sendStoreError(ctx iris.Context, err error) {
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict):
		ctx.StatusCode(http.StatusConflict)
		_ = ctx.JSON(platform.Conflict{Keys: conflict.Keys})
	case errors.Is(err, platform.ErrNotFound):
		ctx.StatusCode(http.StatusNotFound)
	case errors.Is(err, platform.ErrUncertain):
		panic(http.ErrAbortHandler)
	default:
		ctx.StatusCode(http.StatusServiceUnavailable)
	}
}
