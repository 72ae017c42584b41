package router

import (
	"net/http"
	"strings"

	"github.com/cockroachdb/errors"
)

// Route states whether the matching calls of a plain service may run more than once.
// It overrides what RFC 9110 says about their method.
type Route struct {
	Service    string
	Method     string
	Prefix     string // of the path within the service
	Repeatable bool
}

const (
	routeRepeatable = "repeatable"
	routeOnce       = "once"
)

// ParseRoute parses "service:METHOD:/path-prefix:repeatable" or
// "service:METHOD:/path-prefix:once". Its error quotes s and names the fault.
func ParseRoute(s string) (Route, error) {
	parts := strings.Split(s, ":")
	if len(parts) != 4 {
		return Route{}, errors.Newf("route %q is not of the form service:METHOD:/prefix:repeatable|once", s)
	}
	r := Route{Service: parts[0], Method: parts[1], Prefix: parts[2], Repeatable: parts[3] == routeRepeatable}
	switch {
	case r.Service == "":
		return Route{}, errors.Newf("route %q names no service", s)
	case r.Method == "" || r.Method != strings.ToUpper(r.Method):
		return Route{}, errors.Newf("route %q has method %q, not an upper-case method", s, r.Method)
	case !strings.HasPrefix(r.Prefix, "/"):
		return Route{}, errors.Newf("route %q has prefix %q, which does not start with a slash", s, r.Prefix)
	case parts[3] != routeRepeatable && parts[3] != routeOnce:
		return Route{}, errors.Newf("route %q ends in %q, not in repeatable or once", s, parts[3])
	}
	return r, nil
}

// repeatable reports whether a call of a service may run more than once. The route
// with the longest matching prefix decides; without one, RFC 9110 does.
func repeatable(routes []Route, service, method, path string) bool {
	mayRepeat, longest := idempotent(method), -1
	for _, r := range routes {
		if r.Service != service || r.Method != method || !underPrefix(path, r.Prefix) {
			continue
		}
		if len(r.Prefix) > longest {
			mayRepeat, longest = r.Repeatable, len(r.Prefix)
		}
	}
	return mayRepeat
}

// underPrefix reports whether path equals prefix or lies below it.
func underPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (rest == "" || rest[0] == '/' || strings.HasSuffix(prefix, "/"))
}

// idempotent reports whether RFC 9110 defines the method as idempotent.
func idempotent(method string) bool {
	return safe(method) || method == http.MethodPut || method == http.MethodDelete
}

// safe reports whether RFC 9110 defines the method as safe.
func safe(method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodTrace:
		return true
	default:
		return false
	}
}
