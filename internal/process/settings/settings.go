// Package settings checks the settings of the programs and names every fault at
// once.
package settings

import (
	"cmp"
	"net"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"
)

// Faults gathers the faults of a command line.
type Faults struct {
	errs []error
}

// Check adds err, if any, as a fault of flag, which is named without dashes.
func (f *Faults) Check(flag string, err error) {
	f.Add(errors.Wrapf(err, "--%s", flag))
}

// CheckEach checks the values of several flags.
func CheckEach[T any](f *Faults, check func(T) error, values map[string]T) {
	for flag, value := range values {
		f.Check(flag, check(value))
	}
}

// Add adds err, if any.
func (f *Faults) Add(err error) {
	if err != nil {
		f.errs = append(f.errs, err)
	}
}

// Join returns an error that names all faults, sorted, or nil.
func (f *Faults) Join() error {
	slices.SortFunc(f.errs, func(a, b error) int { return strings.Compare(a.Error(), b.Error()) })
	return errors.Join(f.errs...)
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
		return errors.Newf("%q does not begin with an IP number", value)
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

// AtLeast returns an error if value is below least.
func AtLeast[T cmp.Ordered](value, least T) error {
	if value < least {
		return errors.Newf("%v is less than %v", value, least)
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
