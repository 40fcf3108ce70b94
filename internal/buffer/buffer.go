// Package buffer bounds the memory that bodies of requests and answers occupy on one
// host.
//
// Bytes are reserved before they are read and released when the body is no longer
// needed. A Pool is safe for concurrent use.
package buffer

import (
	"fmt"
	"io"
	"sync/atomic"

	"github.com/citronscale/citronscale/code"
)

// Pool counts the bytes reserved on one host against a limit.
type Pool struct {
	limit int64
	used  atomic.Int64
}

// NewPool returns a pool of limit bytes.
func NewPool(limit int64) *Pool {
	return &Pool{limit: limit}
}

// Used returns the number of reserved bytes.
func (p *Pool) Used() int64 {
	return p.used.Load()
}

// Limit returns the size of the pool in bytes.
func (p *Pool) Limit() int64 {
	return p.limit
}

func (p *Pool) reserve(n int64) error {
	if used := p.used.Add(n); used > p.limit {
		p.used.Add(-n)
		return code.New(code.BufferFull, "request needs %d bytes, host has %d of %d reserved", n, used-n, p.limit)
	}
	return nil
}

// Reservation holds the bytes that one request has reserved in a pool. It is not
// safe for concurrent use.
type Reservation struct {
	pool *Pool
	size int64
}

// Reserve returns an empty reservation.
func (p *Pool) Reserve() *Reservation {
	return &Reservation{pool: p}
}

// Resize grows or shrinks the reservation to size bytes. Growing fails with
// code.BufferFull if the pool has too few free bytes.
func (r *Reservation) Resize(size int64) error {
	delta := size - r.size
	if delta <= 0 {
		r.pool.used.Add(delta)
		r.size = size
		return nil
	}
	if err := r.pool.reserve(delta); err != nil {
		return err
	}
	r.size = size
	return nil
}

// Release returns all bytes to the pool. It may be called more than once.
func (r *Reservation) Release() {
	r.pool.used.Add(-r.size)
	r.size = 0
}

const minReservation = 4 << 10 // bytes reserved before the first read

// ReadAll reads body up to maxBytes and grows the reservation with the bytes read.
// The length is the one that was announced, or negative. It fails with
// code.BodyTooLarge, code.BufferFull or code.BodyIncomplete.
func (r *Reservation) ReadAll(body io.Reader, length, maxBytes int64) ([]byte, error) {
	var data []byte
	for {
		if int64(len(data)) > maxBytes {
			return nil, code.New(code.BodyTooLarge, "body exceeds the limit of %d bytes", maxBytes)
		}
		grown, done, err := r.readStep(body, data, length, maxBytes)
		if err != nil {
			return nil, err
		}
		data = grown
		if done {
			return data, nil
		}
	}
}

// readStep appends the result of one read to data. The reservation follows the
// capacity of data, not its length.
func (r *Reservation) readStep(body io.Reader, data []byte, length, maxBytes int64) (grown []byte, done bool, err error) {
	if len(data) == cap(data) {
		size := nextCapacity(int64(cap(data)), length, maxBytes)
		if err := r.Resize(size); err != nil {
			return nil, false, err
		}
		data = append(make([]byte, 0, size), data...)
	}
	n, err := body.Read(data[len(data):cap(data)])
	data = data[:len(data)+n]
	if err == io.EOF {
		return data, true, nil
	}
	if err != nil {
		return nil, false, code.Wrap(fmt.Errorf("body ended after %d bytes: %w", len(data), err), code.BodyIncomplete)
	}
	return data, false, nil
}

// nextCapacity doubles the capacity, up to the bytes that are expected and one more
// for the end to be read.
func nextCapacity(current, length, maxBytes int64) int64 {
	end := maxBytes + 1
	if length >= current && length < maxBytes {
		end = length + 1
	}
	if next := max(minReservation, 2*current); next < end-1 {
		return next
	}
	return end
}
