package platformtest

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// Objects is an object store under test, which is empty at the start of a case.
type Objects struct {
	platform.ObjectStore
	SetFault func(Fault)
}

// RunObjects runs the contract of an object store on the factory's stores.
func RunObjects(t *testing.T, factory func(t *testing.T) Objects) {
	t.Helper()
	run(t, ObjectCases(), factory)
}

// ObjectCases returns the contract of an object store.
func ObjectCases() []Case[Objects] {
	return []Case[Objects]{
		{"missing object is not found", checkObjectMissing},
		{"any object can be stored", checkAnyObject},
		{"objects are not shared with callers", checkObjectIsolation},
		{"down: calls are unavailable and have no effect", checkObjectDown},
		{"answer lost: put is uncertain and took effect", checkObjectAnswerLost},
		{"request lost: put is uncertain and has no effect", checkObjectRequestLost},
	}
}

func (o Objects) wantObject(ctx context.Context, key string, want []byte) error {
	data, err := o.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "reading %q back", key)
	}
	if !bytes.Equal(data, want) {
		return errors.Newf("object %q is %.40q (%d bytes), want %.40q (%d bytes)", key, data, len(data), want, len(want))
	}
	return nil
}

func (o Objects) wantMissing(ctx context.Context, key string) error {
	_, err := o.Get(ctx, key)
	return wantMark("Get of "+key, err, platform.ErrNotFound)
}

func checkObjectMissing(ctx context.Context, objects Objects) error {
	return objects.wantMissing(ctx, "none")
}

func checkAnyObject(ctx context.Context, objects Objects) error {
	for _, key := range []string{"a/b", "a b+c%2F", "é&key=ä?#"} {
		for _, data := range [][]byte{{}, []byte("\x00\xff\n"), bytes.Repeat([]byte("ab"), 1<<16)} {
			if err := objects.Put(ctx, key, data); err != nil {
				return err
			}
			if err := objects.wantObject(ctx, key, data); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkObjectIsolation(ctx context.Context, objects Objects) error {
	data := []byte("1")
	if err := objects.Put(ctx, "a", data); err != nil {
		return err
	}
	data[0] = '2'
	read, err := objects.Get(ctx, "a")
	if err != nil {
		return err
	}
	read[0] = '3'
	return objects.wantObject(ctx, "a", []byte("1"))
}

func checkObjectDown(ctx context.Context, objects Objects) error {
	objects.SetFault(FaultDown)
	putErr := objects.Put(ctx, "a", []byte("1"))
	_, getErr := objects.Get(ctx, "a")
	objects.SetFault(FaultNone)
	return firstError(
		func() error { return wantMark("Put", putErr, platform.ErrUnavailable) },
		func() error { return wantMark("Get", getErr, platform.ErrUnavailable) },
		func() error { return objects.wantMissing(ctx, "a") },
	)
}

func checkObjectAnswerLost(ctx context.Context, objects Objects) error {
	objects.SetFault(FaultResponseLost)
	err := objects.Put(ctx, "a", []byte("1"))
	objects.SetFault(FaultNone)
	return firstError(
		func() error { return wantMark("Put", err, platform.ErrUncertain) },
		func() error { return objects.wantObject(ctx, "a", []byte("1")) },
	)
}

func checkObjectRequestLost(ctx context.Context, objects Objects) error {
	objects.SetFault(FaultRequestLost)
	err := objects.Put(ctx, "a", []byte("1"))
	objects.SetFault(FaultNone)
	return firstError(
		func() error { return wantMark("Put", err, platform.ErrUncertain) },
		func() error { return objects.wantMissing(ctx, "a") },
	)
}
