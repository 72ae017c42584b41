package platformtest_test

import (
	"context"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/mastichollow/mastichollow/internal/platform"
	"github.com/mastichollow/mastichollow/internal/platform/platformtest"
	"github.com/mastichollow/mastichollow/internal/standin"
	"github.com/mastichollow/mastichollow/internal/standin/standintest"
	"github.com/mastichollow/mastichollow/internal/target"
)

// brokenTable is a table service with a method replaced to violate the contract.
type brokenTable struct {
	platform.TableService
	get    func(ctx context.Context, key string) (platform.Item, error)
	list   func(ctx context.Context, prefix string) ([]platform.Item, error)
	commit func(ctx context.Context, writes []platform.Write) (uint64, error)
}

func (b brokenTable) Get(ctx context.Context, key string) (platform.Item, error) {
	if b.get != nil {
		return b.get(ctx, key)
	}
	return b.TableService.Get(ctx, key)
}

func (b brokenTable) List(ctx context.Context, prefix string) ([]platform.Item, error) {
	if b.list != nil {
		return b.list(ctx, prefix)
	}
	return b.TableService.List(ctx, prefix)
}

func (b brokenTable) Commit(ctx context.Context, writes ...platform.Write) (uint64, error) {
	if b.commit != nil {
		return b.commit(ctx, writes)
	}
	return b.TableService.Commit(ctx, writes...)
}

// ignoreConditions commits each write whatever its condition.
func ignoreConditions(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, commit: func(ctx context.Context, writes []platform.Write) (uint64, error) {
		for i := range writes {
			item, _ := t.Get(ctx, writes[i].Key)
			writes[i].If = item.Version
		}
		return t.Commit(ctx, writes...)
	}}
}

// commitOneByOne commits each write in a transaction of its own, up to the first conflict.
func commitOneByOne(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, commit: func(ctx context.Context, writes []platform.Write) (version uint64, err error) {
		for _, w := range writes {
			if version, err = t.Commit(ctx, w); err != nil {
				return 0, err
			}
		}
		return version, nil
	}}
}

// translateError replaces the error from of commits by to.
func translateError(from, to error) func(*standin.Table) platform.TableService {
	return func(t *standin.Table) platform.TableService {
		return brokenTable{TableService: t, commit: func(ctx context.Context, writes []platform.Write) (uint64, error) {
			version, err := t.Commit(ctx, writes...)
			if errors.Is(err, from) {
				return 0, to
			}
			return version, err
		}}
	}
}

func nameAllKeys(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, commit: func(ctx context.Context, writes []platform.Write) (uint64, error) {
		version, err := t.Commit(ctx, writes...)
		if !errors.Is(err, platform.ErrConflict) {
			return version, err
		}
		all := &platform.ConflictError{}
		for _, w := range writes {
			all.Keys = append(all.Keys, w.Key)
		}
		return 0, all
	}}
}

func missingAsEmptyItem(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, get: func(ctx context.Context, key string) (platform.Item, error) {
		item, err := t.Get(ctx, key)
		if errors.Is(err, platform.ErrNotFound) {
			err = nil
		}
		return item, err
	}}
}

func downAsMissing(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, get: func(ctx context.Context, key string) (platform.Item, error) {
		item, err := t.Get(ctx, key)
		if errors.Is(err, platform.ErrUnavailable) {
			err = platform.ErrNotFound
		}
		return item, err
	}}
}

func downAsEmptyList(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, list: func(ctx context.Context, prefix string) ([]platform.Item, error) {
		items, _ := t.List(ctx, prefix)
		return items, nil
	}}
}

func listWithoutSlash(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, list: func(ctx context.Context, prefix string) ([]platform.Item, error) {
		return t.List(ctx, strings.TrimSuffix(prefix, "/"))
	}}
}

// versionsByKey counts the versions of each key separately.
func versionsByKey(*standin.Table) platform.TableService {
	tables := make(map[string]*standin.Table)
	table := func(key string) *standin.Table {
		if tables[key] == nil {
			tables[key] = standin.NewTable()
		}
		return tables[key]
	}
	return brokenTable{
		get: func(ctx context.Context, key string) (platform.Item, error) { return table(key).Get(ctx, key) },
		commit: func(ctx context.Context, writes []platform.Write) (uint64, error) {
			return table(writes[0].Key).Commit(ctx, writes...)
		},
	}
}

// restartVersions makes the versions start from 1 again after a delete.
func restartVersions(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, commit: func(ctx context.Context, writes []platform.Write) (uint64, error) {
		if writes[0].Delete {
			t = standin.NewTable()
			return 1, nil
		}
		return t.Commit(ctx, writes...)
	}}
}

// retryUncertain repeats a commit whose effect is uncertain.
func retryUncertain(t *standin.Table) platform.TableService {
	return brokenTable{TableService: t, commit: func(ctx context.Context, writes []platform.Write) (uint64, error) {
		_, err := t.Commit(ctx, writes...)
		if errors.Is(err, platform.ErrUncertain) {
			t.SetFault(nil)
			return t.Commit(ctx, writes...)
		}
		return 1, err
	}}
}

func TestTableContractFindsMutants(t *testing.T) {
	for name, mutant := range map[string]struct {
		make  func(*standin.Table) platform.TableService
		fails string
	}{
		"conditions ignored":                   {ignoreConditions, "condition that does not hold is a conflict"},
		"creates overwrite":                    {ignoreConditions, "one of many concurrent creates succeeds"},
		"writes applied one by one":            {commitOneByOne, "conflicting transaction applies nothing"},
		"conflict names all keys":              {nameAllKeys, "conflict names exactly the failed conditions"},
		"conflict without keys":                {translateError(platform.ErrConflict, platform.ErrConflict), "conflict names exactly the failed conditions"},
		"conflict as unavailable":              {translateError(platform.ErrConflict, platform.ErrUnavailable), "create of an existing key is a conflict"},
		"uncertain as unavailable":             {translateError(platform.ErrUncertain, platform.ErrUnavailable), "answer lost: commit is uncertain and took effect"},
		"uncertain as conflict":                {translateError(platform.ErrUncertain, platform.ErrConflict), "request lost: commit is uncertain and has no effect"},
		"unavailable as uncertain":             {translateError(platform.ErrUnavailable, platform.ErrUncertain), "down: calls are unavailable and have no effect"},
		"uncertain commit repeated":            {retryUncertain, "answer lost: commit is uncertain and took effect"},
		"missing key as empty item":            {missingAsEmptyItem, "missing key is not found"},
		"down as missing key":                  {downAsMissing, "down: calls are unavailable and have no effect"},
		"down as empty list":                   {downAsEmptyList, "down: calls are unavailable and have no effect"},
		"list ignores the slash of the prefix": {listWithoutSlash, "list has the items of the prefix sorted by key"},
		"versions by key":                      {versionsByKey, "versions increase over all keys"},
		"version reused":                       {restartVersions, "recreated key has a new version"},
	} {
		t.Run(name, func(t *testing.T) {
			table := standin.NewTable()
			subject := platformtest.Table{TableService: mutant.make(table), SetFault: standintest.SetFault(table.SetFault)}
			require.Error(t, runCase(t, platformtest.TableCases(), mutant.fails, subject))
		})
	}
}

// runCase runs the named case on subject and returns its error.
func runCase[S any](t *testing.T, cases []platformtest.Case[S], name string, subject S) error {
	for _, c := range cases {
		if c.Name == name {
			return c.Check(t.Context(), subject)
		}
	}
	t.Fatalf("contract has no case %q", name)
	return nil
}

// emptyWhenDown is a VM list that is empty, instead of an error, while it is down.
type emptyWhenDown struct{ *standin.VMs }

func (e emptyWhenDown) List(ctx context.Context) ([]target.VM, error) {
	vms, _ := e.VMs.List(ctx)
	return vms, nil
}

func TestVMContractFindsMutants(t *testing.T) {
	vms := standin.NewVMs()
	subject := platformtest.VMs{
		VMList:  emptyWhenDown{vms},
		Set:     vms.Set,
		SetDown: func(down bool) { vms.SetFaults(0, false, down) },
	}
	require.Error(t, runCase(t, platformtest.VMCases(), "down: list is unavailable, not empty", subject))
}

// discardingStore is an object store that discards all objects.
type discardingStore struct{ *standin.Objects }

func (discardingStore) Put(context.Context, string, []byte) error { return nil }

func TestObjectContractFindsMutants(t *testing.T) {
	objects := standin.NewObjects()
	subject := platformtest.Objects{ObjectStore: discardingStore{objects}, SetFault: standintest.SetFault(objects.SetFault)}
	for _, name := range []string{
		"any object can be stored",
		"down: calls are unavailable and have no effect",
		"answer lost: put is uncertain and took effect",
	} {
		require.Error(t, runCase(t, platformtest.ObjectCases(), name, subject), name)
	}
}
