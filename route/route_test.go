package route_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/route"
)

func at(name, host, prefix string) route.Route {
	return route.Route{
		Name: name, Host: host, PathPrefix: prefix, Kind: route.Idempotent, Timeout: time.Second,
		Backends: []route.Backend{{Service: "app", Weight: 90}, {Service: "next", Weight: 10}},
	}
}

func table(t *testing.T, version uint64) *route.Table {
	t.Helper()
	made, err := route.NewTable(&route.Config{Version: version, Routes: []route.Route{
		at("all", "a.example", "/p/"), at("longer", "A.example", "/p/q/"), at("other", "b.example", "/"),
	}})
	assert.NilError(t, err)
	return made
}

func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	made := table(t, 1)
	for _, c := range []struct{ host, path, want string }{
		{"a.example", "/p/x", "all"},
		{"a.example", "/p/q/x", "longer"},
		{"A.Example:8080", "/p/q/", "longer"},
		{"b.example", "/p/q/", "other"},
		{"a.example", "/p", ""},
		{"a.example", "/pq/", ""},
		{"c.example", "/p/", ""},
	} {
		got := ""
		if r := made.Match(c.host, c.path); r != nil {
			got = r.Name
		}
		assert.Equal(t, got, c.want, "%s%s", c.host, c.path)
	}
}

func TestBackendsAreDrawnByWeight(t *testing.T) {
	made := table(t, 1)
	rng := rand.New(rand.NewPCG(1, 1))
	counts := map[string]int{}
	for range 1000 {
		counts[made.Service(made.Match("a.example", "/p/"), rng).Name]++
	}
	assert.Assert(t, counts["app"] > 850 && counts["next"] > 50, "%v", counts)
}

func TestHolderNeverGoesBack(t *testing.T) {
	var h route.Holder
	assert.Assert(t, h.Accept(table(t, 5), time.Second))
	assert.Assert(t, !h.Accept(table(t, 4), 9*time.Second))
	assert.Assert(t, !h.Accept(table(t, 5), 2*time.Second), "the same version only confirms")
	assert.Equal(t, h.Table().Version(), uint64(5))
	assert.Equal(t, h.Age(3*time.Second), time.Second, "an older version confirms nothing")
	h.Confirm(time.Second)
	assert.Equal(t, h.Age(3*time.Second), time.Second, "confirmations don't go back")
}

func TestInvalidRoutesAreNamed(t *testing.T) {
	bad := at("r-1", "a.example", "/p")
	_, err := route.NewTable(&route.Config{Version: 3, Routes: []route.Route{bad}})
	assert.ErrorContains(t, err, `version 3, route "r-1": path prefix "/p"`)
}
