package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func content() Content {
	one := []Share{{Service: "letters", Weight: 1}}
	return Content{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Services: one},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: one},
			{Name: "other", Host: "B.example", Prefix: "/", Services: one},
		},
		Workspaces: []Workspace{{Name: "shop", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatchTakesTheLongestPrefixOfTheHost(t *testing.T) {
	table, err := New(content())
	require.NoError(t, err)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/x/1", "short"},
		{"a.example", "/x/y/1", "long"},
		{"A.EXAMPLE:8080", "/x/y/", "long"},
		{"a.example", "/x", ""},
		{"a.example", "/xy/1", ""},
		{"b.example", "/anything", "other"},
		{"c.example", "/x/1", ""},
		{"", "/x/1", ""},
	} {
		got := ""
		if r := table.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		require.Equal(t, c.want, got, "%s%s", c.host, c.path)
	}
}

func TestFaultyTablesAreRefused(t *testing.T) {
	for name, spoil := range map[string]func(*Content){
		"no version":       func(c *Content) { c.Version = 0 },
		"prefix open":      func(c *Content) { c.Routes[0].Prefix = "/x" },
		"prefix relative":  func(c *Content) { c.Routes[0].Prefix = "x/" },
		"route to nowhere": func(c *Content) { c.Routes[1].Services = nil },
	} {
		c := content()
		spoil(&c)
		_, err := New(c)
		require.Error(t, err, name)
	}
}

func TestKeysNameTheirWorkspace(t *testing.T) {
	table, err := New(content())
	require.NoError(t, err)
	require.True(t, table.HasWorkspaces())
	require.Equal(t, "shop", table.Authenticate("k2").Name)
	require.Nil(t, table.Authenticate("k3"))
	require.Nil(t, table.Authenticate(""))
}

func TestPickFollowsTheWeights(t *testing.T) {
	r := Route{Services: []Share{{"a", 90}, {"b", 10}}}
	require.Equal(t, "a", r.Pick(0))
	require.Equal(t, "a", r.Pick(0.899))
	require.Equal(t, "b", r.Pick(0.901))
	require.Equal(t, "b", r.Pick(1))
	zero := Route{Services: []Share{{"a", 0}, {"b", 5}}}
	require.Equal(t, "b", zero.Pick(0))
}
