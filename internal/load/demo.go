package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/source"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginehttp"
)

// Demo sends one request of each kind and shows what ran where.
type Demo struct {
	Fleet       *Fleet
	Teams       []Team
	Model       string
	Seed        uint64
	Service     string // plain service that takes the booking
	BookingPath string // path below the service whose calls may not be repeated
	Caller      *Caller
}

// DemoRow is one request of the demo.
type DemoRow struct {
	Request   string
	Tokens    uint32
	Host      string
	RanOn     []string
	TTFT      time.Duration // zero for calls of a plain service
	Took      time.Duration
	RequestID string
	Result    string
	OK        bool
}

const (
	demoShortTokens    = 1_000
	demoManifestTokens = 20_000
	demoAnswerTokens   = 64
	demoTimeout        = 2 * time.Minute
	// demoLargeShare is the size of the largest prompt as a share of the
	// memory of one engine, in percent.
	demoLargeShare = 125
	resultWhole    = "whole"
)

// Run sends the requests one after the other.
func (d *Demo) Run(ctx context.Context) ([]DemoRow, error) {
	large, err := d.largeTokens(ctx)
	if err != nil {
		return nil, err
	}
	started := time.Now()
	prompts := []struct {
		name   string
		tokens uint32
	}{{"short note", demoShortTokens}, {"manifest", demoManifestTokens}, {"over one engine", large}}
	var rows []DemoRow
	for i, prompt := range prompts {
		row := d.complete(ctx, i, prompt.name, prompt.tokens)
		row.RanOn = d.enginesOf(ctx, row.RequestID, started)
		rows = append(rows, row)
	}
	return append(rows, d.book(ctx)...), nil
}

// largeTokens returns the size of a prompt that exceeds one engine.
func (d *Demo) largeTokens(ctx context.Context) (uint32, error) {
	if len(d.Fleet.Engines) == 0 {
		return 0, fmt.Errorf("the host list names no engine")
	}
	client := enginehttp.NewClient(enginehttp.Options{})
	defer client.Close()
	first := d.Fleet.Engines[0]
	report, err := client.Engine(upstream.Name(first.Name), first.Address).Report(ctx)
	if err != nil {
		return 0, err
	}
	return uint32(report.CapacityTokens * demoLargeShare / percent), nil
}

func (d *Demo) complete(ctx context.Context, index int, name string, tokens uint32) DemoRow {
	host := d.Fleet.Hosts[index%len(d.Fleet.Hosts)]
	w := &Workload{}
	arrival := Arrival{PromptTokens: tokens, Prefix: noPrefix, PromptSeed: uint64(index)}
	request := &Request{
		Model:     d.Model,
		Prompt:    w.Prompt(arrival, d.Seed),
		MaxTokens: demoAnswerTokens,
		Timeout:   demoTimeout,
		Token:     d.Teams[index%len(d.Teams)].Token,
	}
	row := DemoRow{Request: name, Tokens: tokens, Host: host.Name}
	body, err := request.Encode()
	if err != nil {
		row.Result = err.Error()
		return row
	}
	ctx, cancel := context.WithTimeout(ctx, demoTimeout+answerGrace)
	defer cancel()
	result := Result{Answer: d.Caller.Complete(ctx, host.Address, request, body)}
	result.judge(request)
	row.TTFT = result.Answer.FirstToken
	row.Took = result.Answer.Took
	row.RequestID = result.Answer.RequestID
	row.OK = result.Whole
	row.Result = describe(&result)
	return row
}

func describe(result *Result) string {
	switch {
	case result.Whole:
		return resultWhole
	case result.Wrong:
		return "WRONG TEXT"
	case result.Answer.Code == NoAnswer:
		return "no answer: " + result.Answer.Detail
	default:
		return fmt.Sprintf("%d %s (%s): %s", result.Answer.Code, result.Answer.Code.Name(), result.Answer.Code.Outcome(), result.Answer.Detail)
	}
}

// enginesOf returns the engines that ran attempts of a request.
func (d *Demo) enginesOf(ctx context.Context, requestID string, since time.Time) []string {
	var names []string
	for _, engine := range d.Fleet.Engines {
		runs, err := EngineRuns(ctx, engine.Address, since)
		if err != nil {
			names = append(names, engine.Name+"?")
			continue
		}
		for _, run := range runs {
			if requestID != "" && strings.HasPrefix(run.Attempt, requestID+".") && !slices.Contains(names, engine.Name) {
				names = append(names, engine.Name)
			}
		}
	}
	return names
}

// book sends a call that may not be repeated twice with one key, through a
// host that did not issue the key and through the one that did.
func (d *Demo) book(ctx context.Context) []DemoRow {
	issuer := d.Fleet.Hosts[0]
	other := d.Fleet.Hosts[len(d.Fleet.Hosts)-1]
	key, err := d.issueKey(ctx, issuer)
	if err != nil {
		return []DemoRow{{Request: "issue key", Host: issuer.Name, Result: err.Error()}}
	}
	rows := []DemoRow{
		d.sendBooking(ctx, "booking", other, key),
		d.sendBooking(ctx, "booking again", issuer, key),
	}
	runs, where, err := d.bookingRuns(ctx, key)
	once := DemoRow{Request: "booking ran", RanOn: where, Result: fmt.Sprintf("%d times", runs), OK: runs == 1}
	if err != nil {
		once.Result = err.Error()
		once.OK = false
	}
	return append(rows, once)
}

func (d *Demo) issueKey(ctx context.Context, host source.Entry) (string, error) {
	status, _, data, err := d.post(ctx, host, "/v1/idempotency-keys", "", []byte(`{"count":1}`))
	if err != nil {
		return "", err
	}
	var answer struct {
		Keys []string `json:"keys"`
	}
	if err := json.Unmarshal(data, &answer); err != nil || len(answer.Keys) != 1 {
		return "", fmt.Errorf("issue a key: status %d: %s", status, data)
	}
	return answer.Keys[0], nil
}

func (d *Demo) sendBooking(ctx context.Context, name string, host source.Entry, key string) DemoRow {
	row := DemoRow{Request: name, Host: host.Name}
	started := time.Now()
	status, header, data, err := d.post(ctx, host, "/services/"+d.Service+d.BookingPath, key, []byte(`{"room":"4b"}`))
	row.Took = time.Since(started)
	if err != nil {
		row.Result = err.Error()
		return row
	}
	row.RequestID = header.Get("Citron-Request-Id")
	row.OK = status == http.StatusOK
	row.Result = fmt.Sprintf("status %d", status)
	switch {
	case !row.OK:
		row.Result += ": " + problemText(data)
	case header.Get("Citron-Replayed") != "":
		row.Result += ", recorded answer"
	}
	return row
}

// problemText returns the code and detail of a problem document.
func problemText(data []byte) string {
	var problem chunk
	if err := json.Unmarshal(data, &problem); err != nil || problem.Code == code.OK {
		return "no result code"
	}
	return fmt.Sprintf("%d %s (%s): %s", problem.Code, problem.Code.Name(), problem.Code.Outcome(), problem.Detail)
}

func (d *Demo) post(ctx context.Context, host source.Entry, path, key string, body []byte) (int, http.Header, []byte, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host.Address+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, nil, err
	}
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+d.Teams[0].Token)
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := d.Caller.transport.RoundTrip(req)
	if err != nil {
		return 0, nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxChunkBytes))
	return resp.StatusCode, resp.Header, data, err
}

// bookingRuns returns how often and where a call with the key ran, as the
// service stand-ins recorded it.
func (d *Demo) bookingRuns(ctx context.Context, key string) (int, []string, error) {
	runs := 0
	var where []string
	for _, service := range d.Fleet.Services {
		calls, err := ServiceCalls(ctx, service.Address)
		if err != nil {
			return 0, nil, err
		}
		for _, call := range calls {
			if call.Key == key {
				runs++
				where = append(where, service.Name)
			}
		}
	}
	return runs, where, nil
}

// WriteDemo writes the rows as a table and reports whether all are well.
func WriteDemo(out io.Writer, rows []DemoRow) (bool, error) {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUEST\tTOKENS\tENTRY HOST\tRAN ON\tTTFT\tTOOK\tRESULT\tREQUEST ID")
	well := true
	for _, row := range rows {
		well = well && row.OK
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Request, tokenCell(row.Tokens), dash(row.Host),
			dash(strings.Join(row.RanOn, " ")), durationCell(row.TTFT), durationCell(row.Took), row.Result, dash(row.RequestID))
	}
	return well, w.Flush()
}

func tokenCell(tokens uint32) string {
	if tokens == 0 {
		return "-"
	}
	return fmt.Sprint(tokens)
}

func durationCell(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1fms", d.Seconds()*1000)
}

func dash(text string) string {
	if text == "" {
		return "-"
	}
	return text
}
