package lease

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/citronscale/citronscale/balancer"
	"github.com/citronscale/citronscale/ident"
)

// BenchmarkTake measures one local admission and the return of its permit.
func BenchmarkTake(b *testing.B) {
	table := NewTable(DefaultTableOptions(), Holder{"host-0", 1})
	key := Key{"engine-0", balancer.ClassShort}
	s := table.lease(key)
	s.limit, s.expires = 1<<20, worldStart.Add(time.Hour)
	for b.Loop() {
		permit, _ := table.Take(worldStart, key, 5000)
		table.Return(permit)
	}
}

// BenchmarkHandle measures one lease request at its owner, by the number of
// holders of leases on the engine.
func BenchmarkHandle(b *testing.B) {
	for _, holders := range []int{16, 64, 700} {
		b.Run(fmt.Sprintf("holders=%d", holders), func(b *testing.B) {
			options := DefaultOwnerOptions()
			options.TTL = time.Hour
			now := worldStart.Add(2 * time.Hour)
			owner := NewOwner(options, "engine-0", worldStart)
			owner.tickedAt = now
			owner.Report(now, &EngineReport{AsOf: now, CapacityTokens: 1 << 30})
			tables := make([]*Table, holders)
			for i := range tables {
				tables[i] = NewTable(DefaultTableOptions(), Holder{ident.Host(fmt.Sprintf("host-%03d", i)), 1})
			}
			key := Key{"engine-0", balancer.ClassShort}
			var bytes int
			for i := 0; b.Loop(); i++ {
				now = now.Add(10 * time.Microsecond)
				table := tables[i%holders]
				req := table.Request(now, key, 5000)
				response := owner.Handle(now, req)
				table.HandleResponse(key, req.Sequence, response)
				bytes = proto.Size(req) + proto.Size(response)
			}
			b.ReportMetric(float64(bytes), "message-bytes")
		})
	}
}
