//go:build review3

package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// call is what one client attempt sends.
type call struct {
	method, path, key string
	body              string
	deadline          time.Duration
	parts             string // of the prompt of a stream
	id                string // drawn if it is empty
}

// reply is what a client got.
type reply struct {
	id     string
	sentAt time.Time
	status int // 0: no answer
	sealed bool
	body   string
	err    error // the answer is not whole
}

func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send makes one client attempt on a new connection.
func (r *relay) send(c call) reply {
	if c.id == "" {
		c.id = newID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	got := reply{id: c.id}
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+r.front+c.path, bytes.NewReader([]byte(c.body)))
	if err != nil {
		got.err = err
		return got
	}
	request.Host = hostName
	request.Header.Set(names["request_id"], c.id)
	request.Header.Set(names["deadline"], strconv.FormatInt(c.deadline.Milliseconds(), 10))
	request.Header.Set(names["credential"], c.key)
	if c.parts != "" {
		request.Header.Set(names["parts"], c.parts)
		request.Header.Set(names["model"], "m")
		request.Header.Set(names["tokens"], "5000,400")
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	got.sentAt = time.Now()
	defer func() {
		r.w.note("client: %s %s %s to %s, sent at %.3f s: status %d, sealed %v, %d bytes, error %v", got.id, c.method, c.path, r.name,
			got.sentAt.Sub(r.w.began).Seconds(), got.status, got.sealed, len(got.body), got.err)
	}()
	response, err := transport.RoundTrip(request)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = response.Body.Close() }()
	got.status, got.sealed = response.StatusCode, response.Header.Get(names["seal"]) != ""
	body, err := io.ReadAll(response.Body)
	got.body, got.err = string(body), err
	return got
}
