package settings

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
)

func TestSettingChecks(t *testing.T) {
	cases := map[string]struct {
		got  error
		want string // empty: no error
	}{
		"name":                  {Name("a"), ""},
		"empty name":            {Name(""), "is missing"},
		"address":               {Addr("127.0.0.1:0"), ""},
		"IPv6 address":          {Addr("[::1]:80"), ""},
		"host name":             {Addr("router.example:80"), `"router.example:80" does not begin with an IP address`},
		"address without port":  {Addr("127.0.0.1"), `"127.0.0.1" is not an address IP:PORT`},
		"http URL":              {URL("http://127.0.0.1:1/x"), ""},
		"https URL":             {URL("https://store.example"), ""},
		"URL of another scheme": {URL("ftp://x"), `"ftp://x" is not an http or https URL`},
		"URL without host":      {URL("http:///x"), `"http:///x" is not an http or https URL`},
		"unparsable URL":        {URL("\x00"), `"\x00" is not an http or https URL`},
		"minimum":               {AtLeast(1, 1), ""},
		"below the minimum":     {AtLeast(0, 1), "0 is less than 1"},
		"positive":              {Positive(time.Nanosecond), ""},
		"zero":                  {Positive(time.Duration(0)), "0s is not positive"},
		"negative":              {Positive(-time.Second), "-1s is not positive"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.want == "" {
				require.NoError(t, c.got)
				return
			}
			require.EqualError(t, c.got, c.want)
		})
	}
}

func TestErrorsAreJoinedAndSorted(t *testing.T) {
	var errs Errors
	errs.Check("valid", nil)
	require.NoError(t, errs.Join())
	CheckEach(&errs, Name, map[string]string{"region": "", "domain": "", "id": "x"})
	errs.Add(errors.New("--body is invalid"))
	require.EqualError(t, errs.Join(), "--body is invalid\n--domain: is missing\n--region: is missing")
}
