package revision

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/config"
	"github.com/citronscale/citronscale/ident"
	_ "github.com/citronscale/citronscale/internal/testseed"
	"github.com/citronscale/citronscale/source"
)

const testHosts = 4

// fleet contains the states of a few hosts, the configuration service and its
// undelivered answers.
type fleet struct {
	t           *rapid.T
	now         time.Time
	hosts       []*State
	lastInForce []documentID // document in force at the last check, by host; reset on restart
	paused      [testHosts]bool
	cut         [testHosts][testHosts]bool
	published   []source.Document
	visible     source.Document // document that the service returns
	down        bool
	delayed     []delayedOffer
}

type delayedOffer struct {
	host     int
	document source.Document
}

func newFleet(t *rapid.T) *fleet {
	f := &fleet{t: t, now: time.Unix(1_000_000, 0)}
	for range testHosts {
		f.hosts = append(f.hosts, NewState())
		f.lastInForce = append(f.lastInForce, documentID{})
	}
	return f
}

func document(revision uint64, body string) source.Document {
	return source.Document{Revision: revision, Data: []byte(body)}
}

// publish makes the service return a new document, valid or invalid.
func (f *fleet) publish() {
	body := fmt.Sprintf("format = 1\n[defaults]\nqueue_time_ms = %d\n", 1000+len(f.published))
	if rapid.IntRange(0, 4).Draw(f.t, "invalid") == 0 {
		body += "unknown = 1\n"
	}
	f.published = append(f.published, document(uint64(len(f.published)+1), body))
	f.visible = f.published[len(f.published)-1]
}

// restore makes the service return a document that was published before.
func (f *fleet) restore() {
	if len(f.published) > 0 {
		f.visible = f.published[rapid.IntRange(0, len(f.published)-1).Draw(f.t, "older")]
	}
}

func (f *fleet) read(host int) {
	if f.down || f.paused[host] || f.visible.Data == nil {
		return
	}
	if rapid.Bool().Draw(f.t, "late") {
		f.delayed = append(f.delayed, delayedOffer{host, f.visible})
		return
	}
	f.offer(host, f.visible)
}

// readAll makes each host read from the service; some answers are delayed.
func (f *fleet) readAll() {
	for host := range testHosts {
		f.read(host)
	}
}

func (f *fleet) deliverDelayed() {
	if len(f.delayed) == 0 {
		return
	}
	at := rapid.IntRange(0, len(f.delayed)-1).Draw(f.t, "answer")
	offer := f.delayed[at]
	f.delayed = append(f.delayed[:at], f.delayed[at+1:]...)
	f.offer(offer.host, offer.document)
}

func (f *fleet) offer(host int, offered source.Document) {
	if f.paused[host] {
		return
	}
	decision, err := f.hosts[host].Offer(f.now, offered)
	if decision == Rejected {
		assert.Equal(f.t, code.Of(err), code.ConfigInvalid)
	}
	f.checkNoRollback(host)
}

// checkNoRollback checks that an incarnation of a host does not replace a document
// with an older one.
func (f *fleet) checkNoRollback(host int) {
	current := f.hosts[host].current()
	assert.Assert(f.t, !f.lastInForce[host].supersedes(current), "host %d went from %v to %v", host, f.lastInForce[host], current)
	f.lastInForce[host] = current
}

// pull simulates a heartbeat from one host to another and the fetch after it.
func (f *fleet) pull(to, from int) {
	if f.paused[to] || f.paused[from] || f.cut[from][to] || f.cut[to][from] {
		return
	}
	ahead := f.hosts[from].current()
	if !f.hosts[to].Newer(ahead.revision, ahead.digest) {
		return
	}
	response, ok := f.hosts[from].Answer(f.hosts[to].Request())
	if !ok {
		return
	}
	fetched, err := f.hosts[to].Assemble(response)
	assert.NilError(f.t, err)
	f.offer(to, fetched)
}

func (f *fleet) restart(host int) {
	f.hosts[host] = NewState()
	f.lastInForce[host] = documentID{}
	f.paused[host] = false
	f.delayed = nil
}

func (f *fleet) drawHost(label string) int {
	return rapid.IntRange(0, testHosts-1).Draw(f.t, label)
}

// newestValid returns the newest document in force on any host, on which all
// hosts must converge.
func (f *fleet) newestValid() documentID {
	var newest documentID
	for _, h := range f.hosts {
		if h.current().supersedes(newest) {
			newest = h.current()
		}
	}
	return newest
}

func TestHostsConvergeOnHighestValidRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(*rapid.T) { f.publish() },
			"restore": func(*rapid.T) { f.restore() },
			"down":    func(*rapid.T) { f.down = !f.down },
			"read":    func(*rapid.T) { f.readAll() },
			"reread":  func(*rapid.T) { f.readAll() },
			"late":    func(*rapid.T) { f.deliverDelayed() },
			"pull":    func(*rapid.T) { f.pull(f.drawHost("to"), f.drawHost("from")) },
			"pause":   func(*rapid.T) { h := f.drawHost("paused"); f.paused[h] = !f.paused[h] },
			"restart": func(*rapid.T) { f.restart(f.drawHost("restarted")) },
			"cut": func(*rapid.T) {
				a, b := f.drawHost("from"), f.drawHost("to")
				f.cut[a][b] = !f.cut[a][b]
			},
		})
		f.heal()
	})
}

// heal ends all faults except those of the service, exchanges heartbeats between
// all pairs of hosts, and checks that all have the newest valid document.
func (f *fleet) heal() {
	f.paused = [testHosts]bool{}
	f.cut = [testHosts][testHosts]bool{}
	want := f.newestValid()
	for to := range testHosts {
		for from := range testHosts {
			f.pull(to, from)
		}
	}
	for host, h := range f.hosts {
		assert.Equal(f.t, h.current(), want, "host %d", host)
	}
}

func TestInvalidDocumentKeepsLastValidOne(t *testing.T) {
	s := NewState()
	now := time.Unix(1, 0)
	good := document(1, "format = 1\n")
	bad := document(2, "format = 1\nunknown = 1\n")
	decision, err := s.Offer(now, good)
	assert.NilError(t, err)
	assert.Equal(t, decision, Accepted)
	decision, err = s.Offer(now, bad)
	assert.Equal(t, decision, Rejected)
	assert.Equal(t, code.Of(err), code.ConfigInvalid)
	assert.Equal(t, s.InForce().Revision, uint64(1))
	assert.Assert(t, !s.Newer(2, config.Digest(bad.Data)), "a rejected document is not fetched again")
	decision, _ = s.Offer(now, document(0, "format = 1\n"))
	assert.Equal(t, decision, Older)
}

func TestConflictingDocumentsConverge(t *testing.T) {
	first, second := document(5, "format = 1\n"), document(5, "format = 1\n# other\n")
	a, b := NewState(), NewState()
	now := time.Unix(1, 0)
	for _, offered := range []source.Document{first, second} {
		_, err := a.Offer(now, offered)
		assert.NilError(t, err)
	}
	for _, offered := range []source.Document{second, first} {
		_, err := b.Offer(now, offered)
		assert.NilError(t, err)
	}
	assert.Equal(t, a.current(), b.current())
}

// largeDocument returns a document with one line for each team, as at the size
// that the system is designed for.
func largeDocument(teams int) []byte {
	var text bytes.Buffer
	text.WriteString("format = 1\n[teams]\n")
	for i := range teams {
		fmt.Fprintf(&text, "t%05d = %q\n", i, config.HashToken(fmt.Sprint(i)))
	}
	return text.Bytes()
}

func TestOneLineChangeTransfersFewChunks(t *testing.T) {
	before := largeDocument(21_000)
	after := bytes.Replace(before, []byte("t10000 = "), []byte("u10000 = "), 1)
	behind, ahead := NewState(), NewState()
	_, err := behind.Offer(time.Unix(1, 0), source.Document{Revision: 1, Data: before})
	assert.NilError(t, err)
	_, err = ahead.Offer(time.Unix(1, 0), source.Document{Revision: 2, Data: after})
	assert.NilError(t, err)
	response, ok := ahead.Answer(behind.Request())
	assert.Assert(t, ok)
	transferred := 0
	for _, part := range response.GetChunks() {
		transferred += len(part.GetData())
	}
	assert.Assert(t, transferred > 0 && transferred <= 2*maxChunkBytes, "%d bytes transferred", transferred)
	assembled, err := behind.Assemble(response)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(assembled.Data, after))
	response.Chunks[0].Data = []byte("forged\n")
	_, err = behind.Assemble(response)
	assert.ErrorContains(t, err, "don't match the digest")
}

func TestReadyWaitsForPeers(t *testing.T) {
	start := time.Unix(100, 0)
	s := NewState()
	known := Start{Since: start, Listed: true, Settled: true}
	assert.Assert(t, !s.Ready(start, known), "nothing in force")
	_, err := s.Offer(start, document(1, "format = 1\n"))
	assert.NilError(t, err)
	assert.Assert(t, s.Ready(start, known))
	assert.Assert(t, !s.Ready(start, Start{Since: start, Listed: true}), "peers have not answered")
	assert.Assert(t, !s.Ready(start, Start{Since: start, Settled: true}), "the host list is not known")
	assert.Assert(t, !s.Ready(start.Add(PeerWaitTimeout), Start{Since: start, Ahead: true}), "a peer is ahead")
	assert.Assert(t, s.Ready(start.Add(PeerWaitTimeout), Start{Since: start}), "no peer answers")
}

func TestFailureDomainHasLimitedWatchers(t *testing.T) {
	var domain []ident.Host
	for i := range 117 {
		domain = append(domain, ident.Host(fmt.Sprintf("host-%d", i)))
	}
	watchers := 0
	for _, host := range domain {
		if Watches(host, domain) {
			watchers++
		}
	}
	assert.Equal(t, watchers, WatchersPerDomain)
	assert.Assert(t, Watches("host-0", nil))
}

func BenchmarkFetchAfterOneChange(b *testing.B) {
	before := largeDocument(21_000)
	after := bytes.Replace(before, []byte("t10000 = "), []byte("u10000 = "), 1)
	behind, ahead := NewState(), NewState()
	_, _ = behind.Offer(time.Unix(1, 0), source.Document{Revision: 1, Data: before})
	_, _ = ahead.Offer(time.Unix(1, 0), source.Document{Revision: 2, Data: after})
	transferred := 0
	for b.Loop() {
		request := behind.Request()
		response, _ := ahead.Answer(request)
		if _, err := behind.Assemble(response); err != nil {
			b.Fatal(err)
		}
		transferred = 8*len(request.GetHaveChunks()) + 8*len(response.GetChunks())
		for _, part := range response.GetChunks() {
			transferred += len(part.GetData())
		}
	}
	b.ReportMetric(float64(transferred), "bytes/change")
	b.ReportMetric(float64(len(after)), "bytes/document")
}

func BenchmarkParse(b *testing.B) {
	data := largeDocument(21_000)
	for b.Loop() {
		if _, err := config.Parse(1, data); err != nil {
			b.Fatal(err)
		}
	}
}
