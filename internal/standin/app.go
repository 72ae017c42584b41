package standin

import (
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
)

// newApp returns an empty iris application that logs nothing.
func newApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	return app
}

// newAppHost returns a host that serves app on addr.
func newAppHost(addr string, app *iris.Application) (*Host, error) {
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "building the HTTP interface")
	}
	return NewHost(addr, app)
}
