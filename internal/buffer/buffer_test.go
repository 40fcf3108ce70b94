package buffer

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
)

func TestReadAllEnforcesLimits(t *testing.T) {
	pool := NewPool(1 << 20)
	r := pool.Reserve()
	data, err := r.ReadAll(strings.NewReader(strings.Repeat("x", 200<<10)), 300<<10)
	assert.NilError(t, err)
	assert.Equal(t, len(data), 200<<10)
	assert.Assert(t, pool.Used() >= 200<<10)

	second := pool.Reserve()
	_, err = second.ReadAll(bytes.NewReader(make([]byte, 400<<10)), 300<<10)
	assert.Equal(t, code.Of(err), code.BodyTooLarge)
	second.Release()
	_, err = second.ReadAll(bytes.NewReader(make([]byte, 2<<20)), 4<<20)
	assert.Equal(t, code.Of(err), code.BufferFull)
	second.Release()
	_, err = second.ReadAll(iotest.ErrReader(io.ErrUnexpectedEOF), 10)
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
