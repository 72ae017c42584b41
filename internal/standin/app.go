package standin

import (
	"github.com/cockroachdb/errors"
	"github.com/kataras/iris/v12"
)

// newApp returns an iris application without routes and with logging disabled.
func newApp() *iris.Application {
	app := iris.New()
	app.Logger().SetLevel("disable")
	return app
}

// newAppHost returns a host that serves app and listens on addr.
func newAppHost(addr string, app *iris.Application) (*Host, error) {
	if err := app.Build(); err != nil {
		return nil, errors.Wrap(err, "building the HTTP interface")
	}
	return NewHost(addr, app)
}
