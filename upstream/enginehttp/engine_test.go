package enginehttp_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/internal/stub/enginestub"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginehttp"
)

const testModel = "citron-base"

type fixture struct {
	stub   *enginestub.Engine
	server *stubhttp.Server
	engine upstream.Engine
	name   upstream.Name
}

// fastOptions returns the options of an engine that spends little time per step.
func fastOptions(name string) enginestub.Options {
	options := enginestub.DefaultOptions()
	options.Name = name
	options.Model = testModel
	options.PrefillRate = 50_000_000
	options.StepTime = 100 * time.Microsecond
	options.StepTimePerEntry = 0
	options.ReportLag = 2 * time.Millisecond
	options.CacheEventLag = 0
	options.CacheEventLoss = 0
	options.LoadTime = time.Millisecond
	return options
}

func startEngine(t *testing.T, client *enginehttp.Client, options enginestub.Options) *fixture {
	t.Helper()
	stub := enginestub.New(options)
	server, err := stubhttp.Listen("127.0.0.1:0", stub.Handler(), stub.Gate)
	assert.NilError(t, err)
	t.Cleanup(func() {
		server.Close()
		stub.Close()
	})
	name := upstream.Name(options.Name)
	return &fixture{stub: stub, server: server, engine: client.Engine(name, server.Address()), name: name}
}

func newClient(t *testing.T, options enginehttp.Options) *enginehttp.Client {
	client := enginehttp.NewClient(options)
	t.Cleanup(client.Close)
	return client
}

func newAttempt(sequence uint64) ident.Attempt {
	return ident.Attempt{
		Request:  ident.Request{Host: "host-1", Incarnation: 7, Sequence: sequence},
		Number:   1,
		Deadline: time.UnixMilli(1_900_000_000_000),
	}
}

func newRequest(sequence uint64, prompt string, maxTokens uint32) *upstream.GenerateRequest {
	return &upstream.GenerateRequest{
		Attempt:      newAttempt(sequence),
		Model:        testModel,
		Prompt:       prompt,
		PromptTokens: upstream.CountTokens(prompt),
		MaxTokens:    maxTokens,
	}
}

// readAll reads a stream to its end marker, checks the offsets and the attempt,
// and returns the text.
func readAll(t *testing.T, stream upstream.Stream, attempt ident.Attempt, offset uint64) string {
	t.Helper()
	defer func() { assert.NilError(t, stream.Close()) }()
	var text strings.Builder
	for {
		frame, err := stream.Next()
		assert.NilError(t, err)
		assert.Equal(t, frame.Attempt, attempt)
		assert.Equal(t, frame.Offset, offset)
		text.WriteString(frame.Text)
		offset += uint64(frame.Tokens)
		if frame.Done {
			_, err := stream.Next()
			assert.Equal(t, err, io.EOF)
			return text.String()
		}
	}
}

// waitIdle waits until the engine uses no memory.
func waitIdle(t *testing.T, stub *enginestub.Engine) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if state := stub.State(); state.UsedTokens != 0 {
			return poll.Continue("in use: %+v", state)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

func assertError(t *testing.T, err error, sent upstream.Sent, refused upstream.Refusal) {
	t.Helper()
	failure, ok := upstream.AsError(err)
	assert.Assert(t, ok, "%v", err)
	assert.Equal(t, failure.Sent, sent, "%v", err)
	assert.Equal(t, failure.Refused, refused, "%v", err)
}

func TestGenerateReturnsCompleteAnswer(t *testing.T) {
	f := startEngine(t, newClient(t, enginehttp.Options{}), fastOptions("engine-1"))
	for i, size := range []int{1, 4000, 400_000, 4_000_000 / 4} {
		prompt := strings.Repeat(fmt.Sprintf("%d\"\\\n<é", i), size/8+1)
		req := newRequest(uint64(i+1), prompt, 40)
		stream, err := f.engine.Generate(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, readAll(t, stream, req.Attempt, 0), enginestub.Answer(prompt, 40))
	}
	waitIdle(t, f.stub)
	for _, run := range f.stub.Runs() {
		assert.Assert(t, run.Whole)
	}
}

func TestGenerateResumesAtOffset(t *testing.T) {
	f := startEngine(t, newClient(t, enginehttp.Options{}), fastOptions("engine-1"))
	prompt := "shelf 4, 12 boxes"
	complete := enginestub.Answer(prompt, 16)
	digest := upstream.Digest(prompt)
	for offset := range uint64(17) {
		req := newRequest(offset+1, prompt, 16)
		req.ResumeOffset = offset
		req.ResumeText = enginestub.AnswerText(digest, 0, offset)
		stream, err := f.engine.Generate(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, req.ResumeText+readAll(t, stream, req.Attempt, offset), complete)
	}
}

func TestRefusedRequestsDoNotRun(t *testing.T) {
	f := startEngine(t, newClient(t, enginehttp.Options{}), fastOptions("engine-1"))
	wrongModel := newRequest(1, "a", 1)
	wrongModel.Model = "other"
	_, err := f.engine.Generate(t.Context(), wrongModel)
	assertError(t, err, upstream.SentSome, upstream.RefusedUnknownModel)

	tooLong := newRequest(2, "a", 1_000_000)
	_, err = f.engine.Generate(t.Context(), tooLong)
	assertError(t, err, upstream.SentSome, upstream.RefusedMemory)

	err = f.engine.Reserve(t.Context(), &upstream.ReserveRequest{Attempt: newAttempt(3), Tokens: 1_000_000})
	assertError(t, err, upstream.SentSome, upstream.RefusedMemory)

	f.stub.SetLeaving(true)
	_, err = f.engine.Generate(t.Context(), newRequest(4, "a", 1))
	assertError(t, err, upstream.SentSome, upstream.RefusedLeaving)
	assert.Equal(t, len(f.stub.Runs()), 0)
}

func TestDialErrorReportsThatNothingWasSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	assert.NilError(t, listener.Close())
	engine := newClient(t, enginehttp.Options{}).Engine("engine-1", address)
	_, err = engine.Generate(t.Context(), newRequest(1, "a", 1))
	assertError(t, err, upstream.SentNothing, "")
}

func TestAcceptTimeoutReportsThatRequestWasSent(t *testing.T) {
	f := startEngine(t, newClient(t, enginehttp.Options{AcceptTimeout: 20 * time.Millisecond}), fastOptions("engine-1"))
	f.stub.Gate.SetSilent(true)
	_, err := f.engine.Generate(t.Context(), newRequest(1, "a", 1))
	assertError(t, err, upstream.SentSome, "")
}

func TestStreamWithoutEndMarkerIsAnError(t *testing.T) {
	f := startEngine(t, newClient(t, enginehttp.Options{}), fastOptions("engine-1"))
	stream, err := f.engine.Generate(t.Context(), newRequest(1, "a", 100_000))
	assert.NilError(t, err)
	_, err = stream.Next()
	assert.NilError(t, err)
	f.server.Close()
	for err == nil {
		_, err = stream.Next()
	}
	assertError(t, err, upstream.SentSome, "")
}

// startServerWithBody starts a server that responds to each request with body,
// and returns its address.
func startServerWithBody(t *testing.T, body string) string {
	server, err := stubhttp.Listen("127.0.0.1:0", http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, body)
	}), stubhttp.NewGate())
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	return server.Address()
}

func TestMalformedStreamsAreErrors(t *testing.T) {
	attempt := newAttempt(1).String()
	endMarker := fmt.Sprintf(`data: {"attempt":%q,"offset":0,"done":true}`, attempt)
	for name, body := range map[string]string{
		"empty":              "",
		"no newline":         endMarker,
		"long line":          "data: " + strings.Repeat("x", 200_000) + "\n\n",
		"not JSON":           "data: {\n\n",
		"foreign identifier": "data: {\"attempt\":\"a.b\",\"offset\":0}\n\n",
		"error frame":        "data: {\"error\":\"out of memory\"}\n\n",
	} {
		engine := newClient(t, enginehttp.Options{}).Engine("engine-1", startServerWithBody(t, body))
		stream, err := engine.Generate(t.Context(), newRequest(1, "a", 1))
		assert.NilError(t, err, name)
		_, err = stream.Next()
		assertError(t, err, upstream.SentSome, "")
		assert.Assert(t, !errors.Is(err, io.EOF), name)
		_ = stream.Close()
	}
}

// startEngineWithConnections starts an engine to which that many connections are open and
// idle. Opening them may time out on a busy machine; a client that has seen that avoids
// them, so another one tries.
func startEngineWithConnections(t *testing.T, connections int) *fixture {
	t.Helper()
	const tries = 50
	for range tries {
		f := startEngine(t, newClient(t, enginehttp.Options{AcceptTimeout: 50 * time.Millisecond}), fastOptions("engine-1"))
		if f.openConnections(t, connections) {
			return f
		}
	}
	t.Fatalf("%d connections could not be opened at a time in %d tries", connections, tries)
	return nil
}

// openConnections opens that many connections at a time, leaves them idle, and reports
// whether it has done so.
func (f *fixture) openConnections(t *testing.T, connections int) bool {
	t.Helper()
	f.stub.Gate.SetSilent(true) // so that each report needs a connection
	failed := make(chan error, connections)
	var group sync.WaitGroup
	for range connections {
		group.Go(func() {
			if _, err := f.engine.Report(t.Context()); err != nil {
				failed <- err
			}
		})
	}
	opened := false
	for len(failed) == 0 && !opened {
		opened = f.stub.Gate.Waiting() == connections
		time.Sleep(100 * time.Microsecond)
	}
	f.stub.Gate.SetSilent(false)
	group.Wait()
	return opened && len(failed) == 0
}

// When a connection stops responding, other idle ones to the same engine can
// have stopped too. A retry that reused one of them would fail as well.
func TestRetryUsesNewConnection(t *testing.T) {
	f := startEngineWithConnections(t, 4)
	f.stub.Gate.MuteConnections()
	req := newRequest(1, "a", 16)
	req.Attempt.Number = 2
	stream, err := f.engine.Generate(t.Context(), req)
	assert.NilError(t, err)
	readAll(t, stream, req.Attempt, 0)
}

// After a call failed on an unresponsive connection, further calls must not
// reuse connections that were open at that time.
func TestUnresponsiveConnectionsAreNotReused(t *testing.T) {
	const connections = 4
	f := startEngineWithConnections(t, connections)
	f.stub.Gate.MuteConnections()
	_, err := f.engine.Report(t.Context())
	assertError(t, err, upstream.SentSome, "")
	for range connections {
		_, err := f.engine.Report(t.Context())
		assert.NilError(t, err)
	}
}

func TestCancelFreesMemoryOfAbandonedStream(t *testing.T) {
	options := fastOptions("engine-1")
	f := startEngine(t, newClient(t, enginehttp.Options{}), options)
	req := newRequest(1, "a", 64)
	stream, err := f.engine.Generate(t.Context(), req)
	assert.NilError(t, err)
	assert.NilError(t, stream.Close())
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.stub.State().Unread != 1 {
			return poll.Continue("%+v", f.stub.State())
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, f.stub.State().UsedTokens, uint64(65))
	assert.NilError(t, f.engine.Cancel(t.Context(), req.Attempt))
	assert.Equal(t, f.stub.State().UsedTokens, uint64(0))
	assert.NilError(t, f.engine.Cancel(t.Context(), req.Attempt))
}

func TestReportContainsWorkAndEachCacheEventOnce(t *testing.T) {
	f := startEngine(t, newClient(t, enginehttp.Options{}), fastOptions("engine-1"))
	attempt := newAttempt(1)
	assert.NilError(t, f.engine.Reserve(t.Context(), &upstream.ReserveRequest{Attempt: attempt, Tokens: 500}))
	prompt := strings.Repeat("p", 2*upstream.BlockBytes)
	stream, err := f.engine.Generate(t.Context(), newRequest(2, prompt, 16))
	assert.NilError(t, err)
	readAll(t, stream, newAttempt(2), 0)
	var events []upstream.CacheEvent
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		report, err := f.engine.Report(t.Context())
		assert.NilError(t, err)
		events = append(events, report.CacheEvents...)
		if len(report.Held) != 1 || report.UsedTokens != 500 || len(events) != 2 {
			return poll.Continue("%+v", report)
		}
		assert.Equal(t, report.Held[0], upstream.Work{Attempt: attempt, Tokens: 500})
		assert.Equal(t, report.ReservedTokens, uint64(500))
		assert.Equal(t, report.MaxRunning, uint32(enginestub.DefaultOptions().MaxBatch))
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	prefixes := upstream.PrefixDigests(prompt)
	assert.Equal(t, events[0].Digest, prefixes[0])
	assert.Equal(t, events[1].Digest, prefixes[1])
	assert.NilError(t, f.engine.Release(t.Context(), attempt))
	waitIdle(t, f.stub)
}

func TestPromptIsPrefilledOnSeveralEngines(t *testing.T) {
	client := newClient(t, enginehttp.Options{})
	var members []*fixture
	for i := range 3 {
		options := fastOptions(fmt.Sprintf("engine-%d", i+1))
		options.CapacityTokens = 4 * upstream.BlockTokens
		members = append(members, startEngine(t, client, options))
	}
	prompt := strings.Repeat("campus ", 3*3*upstream.BlockBytes/7)
	req := newRequest(1, "", 32)
	req.PromptTokens = upstream.CountTokens(prompt)
	rest := prompt
	for i, member := range members {
		part := rest[:min(len(rest), 3*upstream.BlockBytes)]
		rest = rest[len(part):]
		reserve := &upstream.ReserveRequest{Attempt: req.Attempt, Tokens: upstream.CountTokens(part) + 32}
		assert.NilError(t, member.engine.Reserve(t.Context(), reserve))
		prefill := &upstream.PrefillRequest{Attempt: req.Attempt, Model: testModel, Part: uint32(i), Prompt: part}
		result, err := member.engine.Prefill(t.Context(), prefill)
		assert.NilError(t, err)
		assert.Equal(t, result.Tokens, upstream.CountTokens(part))
		req.Members = append(req.Members, upstream.Member{Name: member.name, Address: member.server.Address()})
	}
	stream, err := members[0].engine.Generate(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, readAll(t, stream, req.Attempt, 0), enginestub.Answer(prompt, 32))
	for _, member := range members {
		assert.NilError(t, member.engine.Release(t.Context(), req.Attempt))
		waitIdle(t, member.stub)
	}

	req.Attempt = newAttempt(2)
	_, err = members[0].engine.Generate(t.Context(), req)
	assertError(t, err, upstream.SentSome, upstream.RefusedMemberLost)
}

func TestOutdatedOrderIsRefusedIfEngineChecksFence(t *testing.T) {
	for _, checksFence := range []bool{true, false} {
		options := fastOptions("engine-1")
		options.ChecksFence = checksFence
		f := startEngine(t, newClient(t, enginehttp.Options{}), options)
		assert.NilError(t, f.engine.Order(t.Context(), &upstream.Order{Fence: 5, Model: testModel, Version: "v2"}))
		waitVersion(t, f, "v2")
		err := f.engine.Order(t.Context(), &upstream.Order{Fence: 4, Model: testModel, Version: "v1"})
		if checksFence {
			assertError(t, err, upstream.SentSome, upstream.RefusedFenced)
			waitVersion(t, f, "v2")
		} else {
			assert.NilError(t, err)
			waitVersion(t, f, "v1")
		}
	}
}

func waitVersion(t *testing.T, f *fixture, version string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		report, err := f.engine.Report(context.Background())
		assert.NilError(t, err)
		if report.Version != version || report.LoadingVersion != "" {
			return poll.Continue("%+v", report)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
}

func FuzzStream(f *testing.F) {
	attempt := newAttempt(1).String()
	f.Add(fmt.Sprintf("data: {\"attempt\":%q,\"offset\":0,\"text\":\"abc \",\"tokens\":1}\n\n", attempt))
	f.Add("event: x\ndata:{}\n\n")
	f.Fuzz(func(t *testing.T, body string) {
		reader := enginehttp.NewStreamReader(io.NopCloser(strings.NewReader(body)), newAttempt(1))
		for {
			frame, err := reader.Next()
			if errors.Is(err, io.EOF) {
				return
			}
			if err != nil {
				_, ok := upstream.AsError(err)
				assert.Assert(t, ok)
				return
			}
			assert.Assert(t, !frame.Done || strings.Contains(body, "done"))
		}
	})
}
