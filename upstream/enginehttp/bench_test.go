package enginehttp_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/upstream/enginehttp"
)

// BenchmarkStreamNext measures reading one frame of one token, without a
// connection.
func BenchmarkStreamNext(b *testing.B) {
	attempt := newAttempt(1).String()
	var body strings.Builder
	for i := range b.N {
		fmt.Fprintf(&body, "data: {\"attempt\":%q,\"offset\":%d,\"text\":\"abc \",\"tokens\":1}\n\n", attempt, i)
	}
	stream := enginehttp.NewStreamReader(io.NopCloser(strings.NewReader(body.String())), newAttempt(1))
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		_, err := stream.Next()
		assert.NilError(b, err)
	}
}
