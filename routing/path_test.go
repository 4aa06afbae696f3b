package routing_test

import (
	"net/url"
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/routing"
)

// TestPathOf guards against an encoded slash that chooses another rule (ROUTE).
func TestPathOf(t *testing.T) {
	cases := []struct{ target, want string }{
		{"/x/y/1", "/x/y/1"},
		{"/x/y%2F1", "/x/y%2F1"},
		{"/x/y%2f1", "/x/y%2F1"},
		{"/x%2Fy%2F1", "/x%2Fy%2F1"},
		{"%2Fx/", "%2Fx/"},
		{"/%78/y/", "/x/y/"},
		{"/x/%C3%A9/", "/x/é/"},
		{"/x/a%20b?c%2Fd", "/x/a b"},
		{"/x/%252F", "/x/%252F"},
		{"/x/", "/x/"},
		{"*", "*"},
	}
	for _, c := range cases {
		u, err := url.ParseRequestURI(c.target)
		if c.target[0] != '/' {
			u, err = url.Parse(c.target)
		}
		must.NoError(t, err, must.Sprint(c.target))
		must.Eq(t, c.want, routing.PathOf(u), must.Sprint(c.target))
	}
	table := routing.NewTable(ruleSet(1))
	for target, want := range map[string]string{"/x/y/1": "long", "/x/y%2F1": "short", "/x/%79/1": "long"} {
		u, err := url.ParseRequestURI(target)
		must.NoError(t, err)
		rule, found := table.Match("a.example", routing.PathOf(u))
		must.True(t, found)
		must.Eq(t, want, rule.Name, must.Sprint(target))
	}
}
