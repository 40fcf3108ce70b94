// Package testport gives tests ports for listeners of other processes.
//
// A port that the system chose for a moment can be taken by any connection of
// any test before its process listens there. The ports of this package lie below
// the range that systems choose from, and each test process has a block of its
// own, which it claims by listening at the first port of the block until it ends.
package testport

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"sync/atomic"
)

const (
	firstPort = 21_000
	blockSize = 100 // ports of one test process, the one that claims them included
	blocks    = 110
)

var (
	next atomic.Uint32
	own  = sync.OnceValues(claim) // the block of this process
)

var errNoBlock = errors.New("other processes have claimed all blocks of ports")

// block is a range of ports.
type block struct {
	first int
	claim net.Listener // held until the process ends
}

// claim takes a block that no other process has.
func claim() (*block, error) {
	for n := range blocks {
		first := firstPort + (os.Getpid()+n)%blocks*blockSize
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", first))
		if err == nil {
			return &block{first, listener}, nil
		}
	}
	return nil, errNoBlock
}

// Address returns a loopback address at which nothing listens.
func Address() (string, error) {
	b, err := own()
	if err != nil {
		return "", err
	}
	const usable = blockSize - 1
	for range usable {
		port := b.first + 1 + int(next.Add(1))%usable
		address := fmt.Sprintf("127.0.0.1:%d", port)
		socket, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, socket.Close()
	}
	return "", fmt.Errorf("no port is free from %d to %d", b.first+1, b.first+usable)
}
