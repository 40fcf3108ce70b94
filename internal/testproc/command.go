// Package testproc starts the processes of tests.
package testproc

import (
	"os/exec"
	"syscall"
)

// Command returns a command whose process has a group of its own. A stopped
// process in the group of the test would get SIGHUP from the kernel when the
// shell that leads the group ends.
func Command(name string, args ...string) *exec.Cmd {
	command := exec.Command(name, args...)
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return command
}
