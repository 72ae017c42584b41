package platformtest

import (
	"bytes"
	"context"
	"testing"

	"github.com/cockroachdb/errors"

	"github.com/mastichollow/mastichollow/internal/platform"
)

// Table is a table service under test, which is empty at the start of a case.
type Table struct {
	platform.TableService
	SetFault func(Fault)
}

// RunTable runs the contract of a table service on the factory's tables.
func RunTable(t *testing.T, factory func(t *testing.T) Table) {
	t.Helper()
	run(t, TableCases(), factory)
}

// RunTableInBubble is RunTable with a synctest bubble for each case. The factory's
// tables must do no I/O outside the bubble.
func RunTableInBubble(t *testing.T, factory func(t *testing.T) Table) {
	t.Helper()
	runInBubble(t, TableCases(), factory)
}

// TableCases returns the contract of a table service.
func TableCases() []Case[Table] {
	return []Case[Table]{
		{"missing key is not found", checkMissingKey},
		{"item has the committed value and version", checkItem},
		{"any key and value can be stored", checkKeysAndValues},
		{"versions increase over all keys", checkVersionsIncrease},
		{"condition that does not hold is a conflict", checkConflict},
		{"conflict names exactly the failed conditions", checkConflictKeys},
		{"conflicting transaction applies nothing", checkAtomic},
		{"create of an existing key is a conflict", checkCreateTwice},
		{"deleted key is not found", checkDelete},
		{"recreated key has a new version", checkRecreate},
		{"list has the items of the prefix sorted by key", checkList},
		{"list without items is empty", checkListEmpty},
		{"one of many concurrent creates succeeds", checkConcurrentCreates},
		{"values are not shared with callers", checkIsolation},
		{"down: calls are unavailable and have no effect", checkDown},
		{"answer lost: commit is uncertain and took effect", checkAnswerLost},
		{"request lost: commit is uncertain and has no effect", checkRequestLost},
		{"cancelled commit that fails as unavailable has no effect", checkCancelled},
	}
}

func checkMissingKey(ctx context.Context, table Table) error {
	_, err := table.Get(ctx, "claim/none")
	return wantMark("Get of a missing key", err, platform.ErrNotFound)
}

// create commits a new item and returns its version.
func (t Table) create(ctx context.Context, key, value string) (uint64, error) {
	version, err := t.Commit(ctx, platform.Write{Key: key, Value: []byte(value)})
	return version, errors.Wrapf(err, "creating %q", key)
}

// wantItem returns an error unless key has the given value and version.
func (t Table) wantItem(ctx context.Context, key, value string, version uint64) error {
	item, err := t.Get(ctx, key)
	if err != nil {
		return errors.Wrapf(err, "reading %q back", key)
	}
	if item.Key != key || string(item.Value) != value || item.Version != version {
		return errors.Newf("item is %q = %q at version %d, want %q = %q at version %d",
			item.Key, item.Value, item.Version, key, value, version)
	}
	return nil
}

// wantMissing returns an error unless key does not exist.
func (t Table) wantMissing(ctx context.Context, key string) error {
	_, err := t.Get(ctx, key)
	return wantMark("Get of "+key, err, platform.ErrNotFound)
}

func checkItem(ctx context.Context, table Table) error {
	version, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	if version == 0 {
		return errors.New("version of a transaction is 0")
	}
	return table.wantItem(ctx, "a", "1", version)
}

func checkKeysAndValues(ctx context.Context, table Table) error {
	large := string(bytes.Repeat([]byte("0123456789abcdef"), 1<<12))
	for _, key := range []string{"a/b", "a b+c%2F", "é&key=ä?#", `"quoted"\`} {
		for _, value := range []string{"", "\x00\xff\n", large} {
			item, err := table.Get(ctx, key)
			if err != nil && !errors.Is(err, platform.ErrNotFound) {
				return err
			}
			version, err := table.Commit(ctx, platform.Write{Key: key, Value: []byte(value), If: item.Version})
			if err != nil {
				return errors.Wrapf(err, "writing %q", key)
			}
			if err := table.wantItem(ctx, key, value, version); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkVersionsIncrease(ctx context.Context, table Table) error {
	last := uint64(0)
	for _, key := range []string{"b", "a", "c"} {
		version, err := table.create(ctx, key, "1")
		if err != nil {
			return err
		}
		if version <= last {
			return errors.Newf("version %d follows version %d", version, last)
		}
		last = version
	}
	return nil
}

func checkConflict(ctx context.Context, table Table) error {
	version, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, platform.Write{Key: "a", Value: []byte("2"), If: version + 1})
	if err := wantMark("Commit with a wrong version", err, platform.ErrConflict); err != nil {
		return err
	}
	return table.wantItem(ctx, "a", "1", version)
}

func checkConflictKeys(ctx context.Context, table Table) error {
	version, err := table.Commit(ctx, platform.Write{Key: "a"}, platform.Write{Key: "b"}, platform.Write{Key: "c"})
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx,
		platform.Write{Key: "a", If: version + 1},
		platform.Write{Key: "b", If: version},
		platform.Write{Key: "c"},
	)
	var conflict *platform.ConflictError
	if !errors.As(err, &conflict) {
		return errors.Newf("error %v is not a ConflictError", err)
	}
	if len(conflict.Keys) != 2 || conflict.Keys[0] != "a" || conflict.Keys[1] != "c" {
		return errors.Newf("conflict names %q, want a and c", conflict.Keys)
	}
	return nil
}

func checkAtomic(ctx context.Context, table Table) error {
	version, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx,
		platform.Write{Key: "b", Value: []byte("2")},
		platform.Write{Key: "a", Delete: true, If: version},
		platform.Write{Key: "c", Value: []byte("2"), If: version},
	)
	return firstError(
		func() error { return wantMark("Commit with one wrong version", err, platform.ErrConflict) },
		func() error { return table.wantItem(ctx, "a", "1", version) },
		func() error { return table.wantMissing(ctx, "b") },
		func() error { return table.wantMissing(ctx, "c") },
	)
}

func checkCreateTwice(ctx context.Context, table Table) error {
	version, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, platform.Write{Key: "a", Value: []byte("2")})
	if err := wantMark("second create", err, platform.ErrConflict); err != nil {
		return err
	}
	return table.wantItem(ctx, "a", "1", version)
}

func checkDelete(ctx context.Context, table Table) error {
	version, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	_, err = table.Commit(ctx, platform.Write{Key: "a", Delete: true, If: version + 1})
	if err := wantMark("delete at a wrong version", err, platform.ErrConflict); err != nil {
		return err
	}
	if _, err := table.Commit(ctx, platform.Write{Key: "a", Delete: true, If: version}); err != nil {
		return errors.Wrap(err, "deleting")
	}
	return table.wantMissing(ctx, "a")
}

func checkRecreate(ctx context.Context, table Table) error {
	first, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	if _, err := table.Commit(ctx, platform.Write{Key: "a", Delete: true, If: first}); err != nil {
		return errors.Wrap(err, "deleting")
	}
	second, err := table.create(ctx, "a", "1")
	if err != nil {
		return err
	}
	if second <= first {
		return errors.Newf("version %d follows version %d", second, first)
	}
	_, err = table.Commit(ctx, platform.Write{Key: "a", If: first})
	return wantMark("write at the version before the delete", err, platform.ErrConflict)
}

func checkList(ctx context.Context, table Table) error {
	for _, key := range []string{"claim/b", "claim", "claim/a", "claims/x", "fence/a"} {
		if _, err := table.create(ctx, key, "value of "+key); err != nil {
			return err
		}
	}
	items, err := table.List(ctx, "claim/")
	if err != nil {
		return err
	}
	if len(items) != 2 || items[0].Key != "claim/a" || items[1].Key != "claim/b" {
		return errors.Newf("list is %v, want the keys claim/a and claim/b", items)
	}
	return table.wantItem(ctx, "claim/b", string(items[1].Value), items[1].Version)
}

func checkListEmpty(ctx context.Context, table Table) error {
	items, err := table.List(ctx, "claim/")
	if err != nil || len(items) != 0 {
		return errors.Newf("list is %v (error %v), want no items", items, err)
	}
	return nil
}

func checkIsolation(ctx context.Context, table Table) error {
	value := []byte("1")
	version, err := table.Commit(ctx, platform.Write{Key: "a", Value: value})
	if err != nil {
		return err
	}
	value[0] = '2'
	item, err := table.Get(ctx, "a")
	if err != nil {
		return err
	}
	item.Value[0] = '3'
	items, err := table.List(ctx, "a")
	if err != nil || len(items) != 1 {
		return errors.Newf("list is %v (error %v), want one item", items, err)
	}
	items[0].Value[0] = '4'
	return table.wantItem(ctx, "a", "1", version)
}
