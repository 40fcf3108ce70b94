package buffer

import (
	"bytes"
	"io"
	"runtime"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
)

func TestReadAllEnforcesLimits(t *testing.T) {
	pool := NewPool(1 << 20)
	r := pool.Reserve()
	data, err := r.ReadAll(strings.NewReader(strings.Repeat("x", 200<<10)), -1, 300<<10)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 200<<10)
	assert.Assert(t, pool.Used() >= 200<<10)

	second := pool.Reserve()
	_, err = second.ReadAll(bytes.NewReader(make([]byte, 400<<10)), -1, 300<<10)
	assert.Equal(t, code.Of(err), code.BodyTooLarge)
	second.Release()
	_, err = second.ReadAll(bytes.NewReader(make([]byte, 2<<20)), -1, 4<<20)
	assert.Equal(t, code.Of(err), code.BufferFull)
	second.Release()
	_, err = second.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), -1, 10)
	assert.Equal(t, code.Of(err), code.BodyIncomplete)
}

func TestReleaseReturnsAllBytes(t *testing.T) {
	pool := NewPool(100)
	r := pool.Reserve()
	assert.NilError(t, r.Resize(80))
	assert.Equal(t, code.Of(pool.Reserve().Resize(30)), code.BufferFull)
	assert.NilError(t, r.Resize(20))
	r.Release()
	r.Release()
	assert.Equal(t, pool.Used(), int64(0))
}

// A body without a length must not take much more memory than is reserved for it, and a
// short one with a length just what it needs.
func TestReadAllReservesWhatItAllocates(t *testing.T) {
	for _, c := range []struct{ size, length, allocated int64 }{
		{1 << 20, -1, 2<<20 + 64<<10},
		{1 << 20, 1 << 20, 2<<20 + 64<<10},
		{100, 100, 1 << 10},
		{0, 0, 1 << 10},
	} {
		pool := NewPool(1<<20 + 1)
		r := pool.Reserve()
		body := strings.NewReader(strings.Repeat("x", int(c.size)))
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		data, err := r.ReadAll(body, c.length, 1<<20)
		runtime.ReadMemStats(&after)
		assert.NilError(t, err)
		assert.Equal(t, int64(len(data)), c.size)
		assert.Assert(t, pool.Used() >= int64(cap(data)), "%d of %d bytes are reserved", pool.Used(), cap(data))
		allocated := int64(after.TotalAlloc - before.TotalAlloc)
		assert.Assert(t, allocated <= c.allocated, "%d bytes allocated for %d", allocated, c.size)
	}
}
