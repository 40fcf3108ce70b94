package settings

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/code"
)

const validSettings = `[host]
name = "host-1"
failure_domain = "south-1"

[listen]
callers = "0.0.0.0:8081"
peers = "127.0.0.1:9081"
operators = "127.0.0.1:9181"

[platform]
config = ["127.0.0.1:7001"]
host_list = ["127.0.0.1:7001"]

[limits]
write_timeout = "3s"
`

func TestLoadFillsDefaults(t *testing.T) {
	path := filepath.Join(t.TempDir(), "host.toml")
	assert.NilError(t, os.WriteFile(path, []byte(validSettings), 0o600))
	s, err := Load(path)
	assert.NilError(t, err)
	assert.Equal(t, string(s.Host.Name), "host-1")
	assert.Equal(t, s.Listen.Peers.String(), "127.0.0.1:9081")
	assert.Equal(t, s.Limits.WriteTimeout.Std(), 3*time.Second)
	assert.Equal(t, s.Limits.MaxBodyBytes, int64(DefaultMaxBodyBytes))
	assert.Equal(t, s.File, path)
}

func TestFaultNamesFileLineFieldAndValue(t *testing.T) {
	cases := []struct{ name, old, with, want string }{
		{"unknown key", `failure_domain = "south-1"`, "failure_domain = \"south-1\"\nrack = 4", `host.toml:4: host.rack = 4: is not a known field`},
		{"unknown table", "[limits]", "[quota]\nteams = 1\n[limits]", `host.toml:14: quota = [quota]: is not a known field`},
		{"missing failure domain", `failure_domain = "south-1"`, "", `host.toml: host.failure_domain is missing`},
		{"empty failure domain", `"south-1"`, `""`, `host.toml:3: host.failure_domain = "": must be 1 to 63 lower-case letters, digits and inner hyphens`},
		{"host name", `"127.0.0.1:9081"`, `"localhost:9081"`, `host.toml:7: listen.peers = "localhost:9081": `},
		{"no port", `"127.0.0.1:9181"`, `"127.0.0.1"`, `host.toml:8: listen.operators = "127.0.0.1": `},
		{"empty address", `"127.0.0.1:9181"`, `""`, `host.toml:8: listen.operators = "": must be IP:port`},
		{"not loopback without tls", `"127.0.0.1:9081"`, `"10.0.0.1:9081"`, `host.toml:7: listen.peers = "10.0.0.1:9081": must be a loopback address while tls.certificate is not set`},
		{"shared address", `"127.0.0.1:9181"`, `"127.0.0.1:9081"`, `host.toml:8: listen.operators = "127.0.0.1:9081": must differ from listen.peers`},
		{"platform list", `config = ["127.0.0.1:7001"]`, "config = []", `host.toml:11: platform.config = []: must list at least one IP:port`},
		{"platform address", `config = ["127.0.0.1:7001"]`, `config = ["127.0.0.1:0"]`, `host.toml:11: platform.config = ["127.0.0.1:0"]: must list only addresses that can be dialed`},
		{"duration", `"3s"`, `"soon"`, `host.toml:15: limits.write_timeout = "soon": `},
		{"negative duration", `"3s"`, `"-3s"`, `host.toml:15: limits.write_timeout = "-3s": must be longer than 0s`},
		{"wrong type", `name = "host-1"`, `name = 1`, `host.toml:2: host.name = 1: `},
		{"small buffer", `write_timeout = "3s"`, `buffer_bytes = 5`, `host.toml:15: limits.buffer_bytes = 5: must be at least limits.max_body_bytes`},
		{"half of tls", "[limits]", "[tls]\nkey = \"a.pem\"\n[limits]", `host.toml: tls.certificate must be set: certificate, key and ca belong together`},
		{"log level", "[limits]", "[log]\nlevel = \"loud\"\n[limits]", `host.toml:15: log.level = "loud": must be one of [debug info warn error]`},
		{"syntax", "[limits]", "[limits", `host.toml:14: `},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			document := strings.Replace(validSettings, c.old, c.with, 1)
			assert.Assert(t, document != validSettings)
			_, err := Parse("host.toml", []byte(document))
			assert.ErrorContains(t, err, c.want)
			assert.Equal(t, code.Of(err), code.SettingsInvalid)
			var list *FaultList
			assert.Assert(t, errors.As(err, &list))
		})
	}
}

func TestEveryFaultIsReported(t *testing.T) {
	_, err := Parse("host.toml", nil)
	var list *FaultList
	assert.Assert(t, errors.As(err, &list))
	assert.Equal(t, len(list.Faults), 7, err.Error())
}

func TestLoadReportsUnreadableFile(t *testing.T) {
	_, err := Load(filepath.Join(t.TempDir(), "none.toml"))
	assert.Equal(t, code.Of(err), code.SettingsInvalid)
	assert.ErrorContains(t, err, "none.toml")
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte("[host\nname = {a=[1,"))
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Parse("host.toml", data)
		assert.Assert(t, (s == nil) == (err != nil))
	})
}
