package ctl

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const collected = `collector 1 {"time":1000,"event":303,"name":"configuration source down","host":"host-1"}
no json
{"time":3500,"event":500,"name":"upstream up","host":"host-2","upstream":"i-2"}
{"time":4000,"event":501,"name":"upstream down","host":"host-2","upstream":"i-1"}
{"time":4500,"event":213,"name":"request relayed","host":"host-1","request":"other","upstreams":["i-1"]}
{"time":5000,"event":213,"name":"request relayed","host":"host-1","request":"r-1","result":"UpstreamLost","took":1200,"upstreams":["i-1"],"detail":"reset"}
{"time":60000,"event":501,"name":"upstream down","host":"host-1","upstream":"i-1"}
`

func TestStorySelectsLinesOfTheRequestItsHostAndUpstreams(t *testing.T) {
	var out bytes.Buffer
	c := &storyCommand{app: &app{out: &out}, in: strings.NewReader(collected), Near: 5 * time.Second}
	c.Args.Request = "r-1"
	assert.NilError(t, c.Execute(nil))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(got), 4, out.String())
	assert.Assert(t, strings.Contains(got[0], "303 configuration source down"), got[0])
	assert.Assert(t, strings.Contains(got[1], "501 upstream down i-1"), got[1])
	assert.Assert(t, strings.Contains(got[2], "UpstreamLost after 1200 ms through i-1"), got[2])
	assert.Equal(t, got[3], "    reset")
}

func TestStoryOfAnUnknownRequest(t *testing.T) {
	c := &storyCommand{app: &app{out: &bytes.Buffer{}}, in: strings.NewReader(collected)}
	c.Args.Request = "r-9"
	assert.ErrorContains(t, c.Execute(nil), "no line names request")
}

func TestStoryTellsWhyContentIsRefused(t *testing.T) {
	const log = `{"time":1000,"event":507,"name":"content quarantined","host":"host-7","parts":["aa","bb"],"crashes":3}
{"time":1010,"event":507,"name":"content quarantined","host":"host-8","parts":["aa","bb"],"crashes":3}
{"time":1020,"event":507,"name":"content quarantined","host":"host-7","parts":["aa","dd"],"crashes":3}
{"time":90000,"event":213,"name":"request relayed","host":"host-1","request":"r-1","result":"RequestQuarantined","took":1,"parts":["aa","bb","cc"]}
`
	var out bytes.Buffer
	c := &storyCommand{app: &app{out: &out}, in: strings.NewReader(log), Near: 5 * time.Second}
	c.Args.Request = "r-1"
	assert.NilError(t, c.Execute(nil))
	got := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(got), 2, out.String())
	assert.Assert(t, strings.Contains(got[0], "host-7") && strings.Contains(got[0], "507 content quarantined with parts aa,bb"), got[0])
	assert.Assert(t, strings.Contains(got[1], "RequestQuarantined"), got[1])
}
