//go:build review2

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

// call is one client attempt.
type call struct {
	method, path, key string
	body              []byte
	deadline          time.Duration
	header            map[string]string
}

// outcome is what a client got.
type outcome struct {
	id      string
	status  int // 0 if there is no answer
	sealed  bool
	echo    string
	body    string
	err     error // the answer is missing or not complete
	sentAt  time.Time
	endedAt time.Time
}

// newID returns the id of a client attempt.
func newID() string {
	return fmt.Sprintf("%016x", rand.Uint64())
}

// send sends a request on a new connection and waits for the answer until its deadline.
func (w *world) send(r *relay, c call) outcome {
	o := outcome{id: newID(), sentAt: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), c.deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, c.method, "http://"+r.front+c.path, bytes.NewReader(c.body))
	if err != nil {
		o.err = err
		return o
	}
	request.Host = hostName
	request.Header.Set(names["request_id"], o.id)
	request.Header.Set(names["deadline"], strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		request.Header.Set(names["credential"], c.key)
	}
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	w.note("client: %s sends %s %s with key %q to %s", o.id, c.method, c.path, c.key, r.host)
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	response, err := transport.RoundTrip(request)
	if err == nil {
		var body []byte
		body, err = io.ReadAll(response.Body)
		_ = response.Body.Close()
		o.status, o.body = response.StatusCode, string(body)
		o.sealed = response.Header.Get(names["seal"]) != ""
		o.echo = response.Header.Get(names["request_id"])
	}
	o.err, o.endedAt = err, time.Now()
	w.note("client: %s gets status %d, sealed %v, %d bytes, error %v", o.id, o.status, o.sealed, len(o.body), o.err)
	return o
}

// status returns the status of a GET request, or 0 without an answer.
func status(address, path string) int {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + address + path)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}
