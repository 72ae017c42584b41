package target

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A wrong set sends a restricted request into a region where it must not be served.
func TestRegionSets(t *testing.T) {
	r := NewRegions(map[string]string{"a": "r", "b": "s", "c": "s", "d": "t"})
	for _, c := range []struct {
		name    string
		set     RegionSet
		domains string // whose targets are in the set
	}{
		{"no list", r.Allowed(nil), "abcdx"},
		{"empty list", r.Allowed([]string{}), "abcdx"},
		{"one region", r.Allowed([]string{"s"}), "bc"},
		{"all regions", r.Allowed([]string{"r", "s", "t"}), "abcd"},
		{"unknown name beside a known one", r.Allowed([]string{"r", "u"}), "a"},
		{"only unknown names", r.Allowed([]string{"u", ""}), ""},
		{"two lists", r.Allowed([]string{"r", "s"}).Intersect(r.Allowed([]string{"s", "t"})), "bc"},
		{"list and no list", r.Allowed([]string{"t"}).Intersect(r.Allowed(nil)), "d"},
		{"disjoint lists", r.Allowed([]string{"r"}).Intersect(r.Allowed([]string{"s"})), ""},
	} {
		domains := ""
		for _, domain := range []string{"a", "b", "c", "d", "x"} {
			if c.set.Contains(r.Of(domain)) {
				domains += domain
			}
		}
		require.Equal(t, c.domains, domains, c.name)
	}
}

// Targets of regions beyond the size of a set must not share the bit of another region.
func TestTooManyRegions(t *testing.T) {
	domains, names := make(map[string]string), []string(nil)
	for i := range maxRegions + 2 {
		name := fmt.Sprintf("r%03d", i)
		domains["d"+name], names = name, append(names, name)
	}
	r := NewRegions(domains)
	all := r.Allowed(names)
	require.True(t, all.Contains(r.Of("dr062")))
	require.False(t, all.Contains(r.Of("dr063")))
	require.False(t, r.Allowed([]string{"r064"}).Contains(r.Of("dr064")))
}

func TestDirectoryResolvesRegions(t *testing.T) {
	d := NewDirectory(map[string]string{"a": "r"})
	a, b := testInstance("a"), testInstance("b")
	b.Domain = "elsewhere"
	d.Replace([]Instance{a, b}, 0, false)
	available := d.Current().Available("letters")
	require.True(t, d.Regions().Allowed([]string{"r"}).Contains(available[0].Region))
	require.False(t, d.Regions().Allowed([]string{"r"}).Contains(available[1].Region))
}
