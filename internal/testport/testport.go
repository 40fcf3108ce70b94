// Package testport gives tests ports for listeners of other processes.
//
// A port that the system chose for a moment can be taken by any connection of
// any test before its process listens there. The ports of this package lie below
// the range that systems choose from, and each test process has a block of its
// own.
package testport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

const (
	firstPort = 21_000
	blockSize = 100 // ports of one test process
	blocks    = 110
)

var next atomic.Uint32

// Address returns a loopback address at which nothing listens.
func Address() (string, error) {
	block := firstPort + os.Getpid()%blocks*blockSize
	for range blockSize {
		port := block + int(next.Add(1))%blockSize
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, socket.Close()
	}
	return "", fmt.Errorf("no port is free from %d to %d", block, block+blockSize-1)
}
