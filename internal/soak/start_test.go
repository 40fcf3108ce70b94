package soak

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/citronscale/citronscale/internal/testproc"
)

// A hangup asks for new settings. One that comes while a process starts, as
// after a change of settings that also restarted it, must not end the process.
func TestHangupAtStartEndsNothing(t *testing.T) {
	const tries = 10
	for n := range tries {
		address := fmt.Sprintf("127.3.%d.%d", os.Getpid()%250+1, n+1)
		path := filepath.Join(t.TempDir(), "relay.toml")
		text := fmt.Sprintf("host = \"host-1\"\n[listen]\ncallers = \"%[1]s:%[2]d\"\nreadiness = \"%[1]s:%[3]d\"\n[peers]\naddress = \"%[1]s:%[4]d\"\n[platform]\nstore = \"%[1]s:1\"\n[stop]\ngrace_s = 0.5\n",
			address, portCallers, portReadiness, portPeers)
		assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
		command := testproc.Command(relayBinary, "--settings", path)
		out, err := command.StdoutPipe()
		assert.NilError(t, err)
		assert.NilError(t, command.Start())
		lines := bufio.NewScanner(out)
		assert.Assert(t, lines.Scan() && strings.Contains(lines.Text(), "process starting"), lines.Text())
		assert.NilError(t, command.Process.Signal(syscall.SIGHUP))
		assert.Assert(t, lines.Scan(), "try %d: the process ended", n)
		assert.NilError(t, command.Process.Signal(syscall.SIGTERM))
		for lines.Scan() { // to the end of the output
		}
		assert.NilError(t, command.Wait(), "try %d", n)
	}
}
