//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["lines"] = longLines }

const (
	streamEvents = 38 // as on the sheet
	modelEngines = 6  // one of them is a share of 0.17
	streams      = 12
	crashAt      = 400 * time.Millisecond
	// lineBytes is the length of the data line of each event, without its end.
	lineBytes = 4096
)

// pieceOf returns the data of an event.
func pieceOf(id int) string {
	text := fmt.Sprintf("piece-%d ", id)
	return text + strings.Repeat("x", lineBytes-len("data: ")-len(text))
}

// longLines streams events with long lines. One replica crashes while it sends streams.
// Each caller must get each piece once.
func longLines(w *world) (bool, error) {
	const host = "model.example"
	s := newStore(w.log)
	address, _, err := w.listen(s.handler())
	if err != nil {
		return false, err
	}
	note := routeSpec{host: host, prefix: "/note/", kind: "stream", service: "manifest-model", goal: 300 * time.Millisecond, timeout: 10 * time.Second, resume: true}
	s.publish(1, []routeSpec{note}, map[string]any{"name": "manifest-model", names.MaxConns: 400, "engine": map[string]any{
		"slots": 16, "kv-capacity": 405000, "stride": 34, "step_ms": 1.31, "chunk": 2048, "read_per_s": 154000,
		"usual": map[string]any{"prompt": 5000, "answer": 400},
	}})
	var all []*replica
	for i := range modelEngines {
		r, err := w.addReplica(fmt.Sprintf("i-%02d", i+1))
		if err != nil {
			return false, err
		}
		r.answer = r.stream
		all = append(all, r)
		s.put(names.ServerPrefix+r.id, r.entry("manifest-model", "ready"))
	}
	if err := w.addRelays(1, address); err != nil {
		return false, err
	}
	if err := w.relays[0].start(); err != nil {
		return false, err
	}
	if err := w.relays[0].awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var wait sync.WaitGroup
	held := make([]bool, streams)
	errs := make([]error, streams)
	for i := range streams {
		wait.Go(func() { held[i], errs[i] = w.readStream(w.relays[0], host, fmt.Sprintf("s-%d", i)) })
	}
	time.Sleep(crashAt)
	if w.trouble {
		busiest := slices.MaxFunc(all, func(a, b *replica) int { return len(a.all()) - len(b.all()) })
		w.log.printf("%s: crashes and stays down until the end of the case, %d streams begun there", busiest.id, len(busiest.all()))
		if err := busiest.server.Close(); err != nil {
			return false, err
		}
	}
	wait.Wait()
	return !slices.Contains(held, false), errors.Join(errs...)
}

// stream sends the events after the one that the request names.
func (r *replica) stream(w http.ResponseWriter, in *http.Request) {
	const pause = 30 * time.Millisecond
	w.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(in.Header.Get(names.LastEvent)) // 0 if absent
	r.log.printf("%s: begins %s after event %d", r.id, in.Header.Get(names.RequestID), from)
	flush := http.NewResponseController(w).Flush
	for id := from + 1; id <= streamEvents; id++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, pieceOf(id)); err != nil {
			return
		}
		if err := flush(); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// readStream sends a request for a stream and reports whether its events are all there,
// once and in order, or the answer is not complete.
func (w *world) readStream(r *relay, host, id string) (bool, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	body := bodyOf(id)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.front+"/note/1", strings.NewReader(body))
	if err != nil {
		return false, err
	}
	request.Host = host
	request.Header.Set(names.RequestID, id)
	request.Header.Set(names.Credential, clientKey)
	request.Header.Set(names.Deadline, "10000")
	request.Header.Set(names.Tokens, "5000,400")
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		w.log.printf("client: %s: status %d", id, response.StatusCode)
		return true, nil
	}
	next, whole := 1, true
	err = readEvents(response.Body, func(event, data string) {
		if event != strconv.Itoa(next) || data != pieceOf(next) {
			w.log.printf("client: %s: event with id %q and %d bytes of data that begin %.12q, expected event %d", id, event, len(data), data, next)
			whole = false
		}
		next++
	})
	w.log.printf("client: %s: %d events, end %v", id, next-1, err)
	return whole && (err != nil || next == streamEvents+1), nil
}

// readEvents parses a stream as browsers do: an event ends with a blank line, its last id
// counts, and its data lines are joined.
func readEvents(body io.Reader, event func(id, data string)) error {
	in := bufio.NewReader(body)
	id, data := "", []string{}
	for {
		line, err := in.ReadString('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		line = strings.TrimRight(line, "\r\n")
		switch {
		case line == "":
			if len(data) > 0 {
				event(id, strings.Join(data, "\n"))
			}
			data = nil
		case strings.HasPrefix(line, "id:"):
			id = strings.TrimSpace(line[len("id:"):])
		case strings.HasPrefix(line, "data:"):
			data = append(data, strings.TrimPrefix(line[len("data:"):], " "))
		}
	}
}
