package httpsource

import "github.com/citronscale/citronscale/source"

// List is the host list as JSON.
type List struct {
	Entries []Entry `json:"entries"`
}

// Entry is one line of the host list as JSON.
type Entry struct {
	Name          string `json:"name"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peer_address,omitempty"`
	FailureDomain string `json:"failure_domain"`
	Model         string `json:"model,omitempty"`
	Service       string `json:"service,omitempty"`
	Leaving       bool   `json:"leaving,omitempty"`
	ChecksFence   bool   `json:"checks_fence,omitempty"`
}

func (l *List) entries() []source.Entry {
	entries := make([]source.Entry, 0, len(l.Entries))
	for _, entry := range l.Entries {
		entries = append(entries, source.Entry(entry))
	}
	return entries
}
