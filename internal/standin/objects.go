package standin

import (
	"context"
	"slices"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// Objects is an in-memory object store. It is safe for concurrent use.
type Objects struct {
	mu      sync.Mutex
	objects map[string][]byte
	fault   func(op, key string) Fault
}

// NewObjects returns an empty object store without faults.
func NewObjects() *Objects {
	return &Objects{objects: make(map[string][]byte)}
}

// SetFault sets the function that returns the fault of each call; nil means no faults. op is
// "get" or "put".
func (o *Objects) SetFault(f func(op, key string) Fault) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.fault = f
}

// Put implements platform.ObjectStore.
func (o *Objects) Put(_ context.Context, key string, data []byte) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	fault := o.callFault("put", key)
	switch fault {
	case FaultDown:
		return errors.Wrapf(platform.ErrUnavailable, "putting %q", key)
	case FaultRequestLost:
		return errors.Wrapf(platform.ErrUncertain, "putting %q", key)
	}
	o.objects[key] = slices.Clone(data)
	if fault == FaultResponseLost {
		return errors.Wrapf(platform.ErrUncertain, "putting %q", key)
	}
	return nil
}

// Get implements platform.ObjectStore.
func (o *Objects) Get(_ context.Context, key string) ([]byte, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.callFault("get", key) != FaultNone {
		return nil, errors.Wrapf(platform.ErrUnavailable, "getting %q", key)
	}
	data, ok := o.objects[key]
	if !ok {
		return nil, errors.Wrapf(platform.ErrNotFound, "getting %q", key)
	}
	return slices.Clone(data), nil
}

// callFault returns the fault of a call. o.mu is held.
func (o *Objects) callFault(op, key string) Fault {
	if o.fault == nil {
		return FaultNone
	}
	return o.fault(op, key)
}
