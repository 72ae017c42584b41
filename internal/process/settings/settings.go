// Package settings validates the settings of the programs and reports all invalid ones in
// one error.
package settings

import (
	"cmp"
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Errors collects the errors of a command line.
type Errors struct {
	errs []error
}

// Check adds err, unless it is nil, as an error of flag, which is given without dashes.
func (e *Errors) Check(flag string, err error) {
	e.Add(errors.Wrapf(err, "--%s", flag))
}

// CheckEach applies check to the values of several flags and adds the errors to errs.
func CheckEach[T any](errs *Errors, check func(T) error, values map[string]T) {
	for flag, value := range values {
		errs.Check(flag, check(value))
	}
}

// Add adds err unless it is nil.
func (e *Errors) Add(err error) {
	if err != nil {
		e.errs = append(e.errs, err)
	}
}

// Join returns one error with all added errors, sorted by text, or nil.
func (e *Errors) Join() error {
	slices.SortFunc(e.errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(e.errs...)
}

// Name returns an error if value is empty.
func Name(value string) error {
	if value == "" {
		return errors.New("is missing")
	}
	return nil
}

// Addr returns an error unless value is an address IP:PORT.
func Addr(value string) error {
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		return errors.Newf("%q is not an address IP:PORT", value)
	}
	if net.ParseIP(host) == nil {
		return errors.Newf("%q does not begin with an IP address", value)
	}
	return nil
}

// URL returns an error unless value is an http or https URL with a host.
func URL(value string) error {
	u, err := url.Parse(value)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		return errors.Newf("%q is not an http or https URL", value)
	}
	return nil
}

// AtLeast returns an error if value is below minimum.
func AtLeast[T cmp.Ordered](value, minimum T) error {
	if value < minimum {
		return errors.Newf("%v is less than %v", value, minimum)
	}
	return nil
}

// Positive returns an error unless value is above 0.
func Positive[T cmp.Ordered](value T) error {
	var zero T
	if value <= zero {
		return errors.Newf("%v is not positive", value)
	}
	return nil
}
