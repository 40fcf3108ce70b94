// Package ownership temporary.
package ownership

import (
	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

type Map struct{ r *rendezvous.Rendezvous }

func New(hosts []ident.Host) *Map {
	if len(hosts) == 0 {
		return &Map{}
	}
	var n []string
	for _, h := range hosts {
		n = append(n, string(h))
	}
	return &Map{rendezvous.New(n, xxhash.Sum64String)}
}

func (m *Map) Owner(e upstream.Name) ident.Host {
	if m.r == nil {
		return ""
	}
	return ident.Host(m.r.Lookup(string(e)))
}
