package host

import (
	"time"

	"github.com/citronscale/citronscale/directory"
)

// dump is the whole state of the process as operators see it.
type dump struct {
	Host        string             `json:"host"`
	Incarnation uint64             `json:"incarnation"`
	State       string             `json:"state"`
	Config      configDump         `json:"config"`
	Upstreams   []directory.Status `json:"upstreams"`
	Buffers     bufferDump         `json:"buffers"`
	Records     recordDump         `json:"records"`
}

type configDump struct {
	Revision uint64 `json:"revision"`
	AgeMS    int64  `json:"age_ms"`
}

type bufferDump struct {
	UsedBytes  int64 `json:"used_bytes"`
	LimitBytes int64 `json:"limit_bytes"`
}

type recordDump struct {
	Requests int       `json:"requests"`
	Oldest   time.Time `json:"oldest"`
}

func (h *Host) dump(now time.Time) *dump {
	requests, oldest := h.records.size()
	return &dump{
		Host:        string(h.self),
		Incarnation: uint64(h.incarnation),
		State:       string(h.lifecycle.state()),
		Config:      configDump{Revision: h.agreement.revision(), AgeMS: h.agreement.age(now).Milliseconds()},
		Upstreams:   h.directory.All(),
		Buffers:     bufferDump{UsedBytes: h.pool.Used(), LimitBytes: h.pool.Limit()},
		Records:     recordDump{Requests: requests, Oldest: oldest},
	}
}
