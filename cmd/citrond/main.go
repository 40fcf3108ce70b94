// Command citrond is the entry daemon of citronscale.
package main

import (
	"os"

	"github.com/citronscale/citronscale/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args[1:], os.Stdout, os.Stderr))
}
