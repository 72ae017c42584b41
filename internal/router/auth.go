package router

import (
	"net/http"
	"strings"

	"github.com/mastichollow/mastichollow/internal/request"
	"github.com/mastichollow/mastichollow/internal/workspace"
)

const (
	bearerScheme   = "bearer"
	maxAPIKeyBytes = 256
)

// authenticate returns the workspace of the API key in the Authorization header.
func authenticate(idx *index, h http.Header) (*workspace.Row, *request.RefusedError) {
	if err := notReady(idx.snapshot); err != nil {
		return nil, newRefusal(request.ReasonNotReady, "%v", err)
	}
	values := h.Values("Authorization")
	if len(values) != 1 {
		return nil, newRefusal(request.ReasonUnauthorized, "exactly one Authorization header is needed")
	}
	scheme, key, _ := strings.Cut(values[0], " ")
	key = strings.TrimSpace(key)
	if !strings.EqualFold(scheme, bearerScheme) || key == "" || len(key) > maxAPIKeyBytes {
		return nil, newRefusal(request.ReasonUnauthorized, "Authorization header does not hold a bearer key")
	}
	row := idx.row(key)
	if row == nil {
		return nil, newRefusal(request.ReasonUnauthorized, "API key is not known")
	}
	return row, nil
}

// findPool returns the named pool if the workspace may call it.
func findPool(idx *index, row *workspace.Row, name string) (*pool, *request.RefusedError) {
	p := idx.pools[name]
	if p == nil {
		return nil, newRefusal(request.ReasonUnknownPool, "pool %q does not exist", name)
	}
	if !row.Allows(name) {
		return nil, newRefusal(request.ReasonForbiddenPool, "workspace %q may not call pool %q", row.Name, name)
	}
	return p, nil
}
