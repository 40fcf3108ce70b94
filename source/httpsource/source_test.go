package httpsource_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/stub/platformstub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/source/httpsource"
)

const longWait = 30 * time.Second

func startSource(t *testing.T) (*platformstub.Platform, *httpsource.Source) {
	t.Helper()
	stub := platformstub.New()
	server, err := stubhttp.Listen("127.0.0.1:0", stub.Handler(), stub.Gate)
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	reader := httpsource.New(server.Address())
	t.Cleanup(reader.Close)
	return stub, reader
}

func TestReadReturnsNewerRevision(t *testing.T) {
	stub, reader := startSource(t)
	_, err := reader.Read(t.Context(), 0, 0)
	assert.Equal(t, err, source.ErrUnchanged)
	stub.Publish(7, []byte("format = 1\n"))
	document, err := reader.Read(t.Context(), 0, longWait)
	assert.NilError(t, err)
	assert.Equal(t, document.Revision, uint64(7))
	assert.Equal(t, string(document.Data), "format = 1\n")
	assert.Equal(t, stub.Stats().ConfigReads, uint64(2))
}

func TestReadWaitsForPublication(t *testing.T) {
	stub, reader := startSource(t)
	stub.Publish(7, []byte("old"))
	done := make(chan source.Document)
	go func() {
		document, _ := reader.Read(t.Context(), 7, longWait)
		done <- document
	}()
	for stub.Stats().ConfigReads == 0 {
		time.Sleep(time.Millisecond)
	}
	stub.Publish(0, []byte("new"))
	document := <-done
	assert.Equal(t, document.Revision, uint64(8))
	assert.Equal(t, stub.Stats().ConfigReads, uint64(1))
}

func TestReadReturnsOlderRevisionOfRestoredService(t *testing.T) {
	stub, reader := startSource(t)
	stub.Publish(7, []byte("old"))
	stub.Publish(8, []byte("new"))
	assert.Assert(t, stub.Restore(7))
	document, err := reader.Read(t.Context(), 8, time.Millisecond)
	assert.Equal(t, err, source.ErrUnchanged)
	assert.Equal(t, document.Revision, uint64(7))
}

func TestReadReturnsUnchangedFromStaleService(t *testing.T) {
	stub, reader := startSource(t)
	stub.Publish(7, []byte("old"))
	stub.SetStale(true)
	stub.Publish(8, []byte("new"))
	_, err := reader.Read(t.Context(), 7, time.Millisecond)
	assert.Equal(t, err, source.ErrUnchanged)
	stub.SetStale(false)
	document, err := reader.Read(t.Context(), 7, time.Millisecond)
	assert.NilError(t, err)
	assert.Equal(t, document.Revision, uint64(8))
}

func TestReadsFailWhilePlatformIsDown(t *testing.T) {
	stub, reader := startSource(t)
	stub.Publish(7, []byte("old"))
	stub.SetDown(true)
	_, err := reader.Read(t.Context(), 0, time.Millisecond)
	assert.ErrorContains(t, err, "read configuration")
	_, err = reader.Hosts(t.Context())
	assert.ErrorContains(t, err, "read host list")
}

func TestHostListIsDelayed(t *testing.T) {
	stub, reader := startSource(t)
	entry := httpsource.Entry{Name: "engine-1", Role: source.RoleEngine, Address: "127.0.0.1:9101", FailureDomain: "a", Model: "m", ChecksFence: true}
	stub.SetInitialHosts(httpsource.List{Entries: []httpsource.Entry{entry}})
	stub.SetLag(time.Hour)
	leaving := entry
	leaving.Leaving = true
	stub.SetEntry(leaving)
	entries, err := reader.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []source.Entry{source.Entry(entry)})
	stub.SetLag(0)
	entries, err = reader.Hosts(t.Context())
	assert.NilError(t, err)
	assert.DeepEqual(t, entries, []source.Entry{source.Entry(leaving)})
	stub.RemoveEntry("engine-1")
	entries, err = reader.Hosts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 0)
}
