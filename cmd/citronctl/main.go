// Command citronctl shows operators what a citronscale fleet does.
package main

import (
	"os"

	"github.com/citronscale/citronscale/internal/ctl"
)

func main() {
	os.Exit(ctl.Main(os.Args[1:], os.Stdout, os.Stderr))
}
