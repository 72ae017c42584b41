package route

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func testConfig() Config {
	services := []WeightedService{{Service: "letters", Weight: 1}}
	return Config{
		Version: 3,
		Routes: []Route{
			{Name: "short", Host: "a.example", Prefix: "/x/", Services: services},
			{Name: "long", Host: "a.example", Prefix: "/x/y/", Services: services},
			{Name: "other", Host: "B.example", Prefix: "/", Services: services},
		},
		Workspaces: []Workspace{{Name: "shop", Keys: []string{"k1", "k2"}}},
	}
}

func TestMatchLongestPrefix(t *testing.T) {
	table, err := New(testConfig())
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

func TestNewInvalidConfig(t *testing.T) {
	for name, invalidate := range map[string]func(*Config){
		"version not positive":          func(c *Config) { c.Version = 0 },
		"prefix without trailing slash": func(c *Config) { c.Routes[0].Prefix = "/x" },
		"prefix without leading slash":  func(c *Config) { c.Routes[0].Prefix = "x/" },
		"route without service":         func(c *Config) { c.Routes[1].Services = nil },
	} {
		c := testConfig()
		invalidate(&c)
		_, err := New(c)
		require.Error(t, err, name)
	}
}

func TestAuthenticateByKey(t *testing.T) {
	table, err := New(testConfig())
	require.NoError(t, err)
	require.True(t, table.HasWorkspaces())
	require.Equal(t, "shop", table.Authenticate("k2").Name)
	require.Nil(t, table.Authenticate("k3"))
	require.Nil(t, table.Authenticate(""))
}

func TestPickByWeight(t *testing.T) {
	r := Route{Services: []WeightedService{{"a", 90}, {"b", 10}}}
	require.Equal(t, "a", r.Pick(0))
	require.Equal(t, "a", r.Pick(0.899))
	require.Equal(t, "b", r.Pick(0.901))
	require.Equal(t, "b", r.Pick(1))
	zeroWeight := Route{Services: []WeightedService{{"a", 0}, {"b", 5}}}
	require.Equal(t, "b", zeroWeight.Pick(0))
}
