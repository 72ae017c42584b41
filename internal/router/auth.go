package router

import (
	"net/http"
	"strings"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	bearerScheme = "bearer"
	maxKeyLen    = 256 // bytes of an API key
)

// authenticate returns the workspace of the request's API key.
func authenticate(idx *index, h http.Header) (*workspace.Row, *request.RefusedError) {
	if err := notReady(idx.snapshot); err != nil {
		return nil, refuse(request.ReasonNotReady, "%v", err)
	}
	values := h.Values("Authorization")
	if len(values) != 1 {
		return nil, refuse(request.ReasonUnauthorized, "exactly one Authorization header is needed")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxKeyLen {
		return nil, refuse(request.ReasonUnauthorized, "Authorization header does not hold a bearer key")
	}
	row := idx.row(key)
	if row == nil {
		return nil, refuse(request.ReasonUnauthorized, "API key is not known")
	}
	return row, nil
}

// findPool returns the pool that the workspace asked for.
func findPool(idx *index, row *workspace.Row, name string) (*pool, *request.RefusedError) {
	p := idx.pools[name]
	if p == nil {
		return nil, refuse(request.ReasonUnknownPool, "pool %q does not exist", name)
	}
	if !row.Allows(name) {
		return nil, refuse(request.ReasonForbiddenPool, "workspace %q may not call pool %q", row.Name, name)
	}
	return p, nil
}
