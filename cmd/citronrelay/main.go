// Command citronrelay is the entry daemon that relays requests along the
// routes that the platform publishes.
package main

import (
	"os"

	"github.com/citronscale/citronscale/internal/relayd"
)

func main() {
	os.Exit(relayd.Main(os.Args[1:], os.Stdout, os.Stderr))
}
