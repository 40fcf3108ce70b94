//go:build review2

package main

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// answerBytes is the size of an answer, as on the sheet.
const answerBytes = 800

// wholeBody returns the body with which a replica answers a request.
func wholeBody(request string) string {
	line := "answer to " + request + " "
	return strings.Repeat(line, answerBytes/len(line)+1)[:answerBytes]
}

// runReplica is the process of a replica of the plain service.
func runReplica(args []string) error {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	address := flags.String("address", "", "IP:port to listen at")
	id := flags.String("id", "", "identifier")
	born := flags.Int64("born", 0, "start in Unix milliseconds")
	unframed := flags.Bool("unframed", false, "answers to late requests end with their connection")
	work := flags.Duration("work", 15*time.Millisecond, "time until the answer to a late request begins")
	rest := flags.Duration("rest", 0, "time between the halves of the answer to a late request")
	events := flags.Int("events", 0, "events of a stream; 0 for a plain service")
	gap := flags.Duration("gap", 0, "time between two events of the answer to a late request")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", *address)
	if err != nil {
		return err
	}
	r := &replicaServer{id: *id, born: *born, unframed: *unframed, work: *work, rest: *rest, events: *events, gap: *gap}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go r.serve(conn)
	}
}

type replicaServer struct {
	id         string
	born       int64
	unframed   bool
	work, rest time.Duration
	events     int // 0 for a plain service
	gap        time.Duration
}

// serve answers one request: the relay opens a connection for each.
func (r *replicaServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	request, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	body, err := io.ReadAll(request.Body)
	if err != nil {
		return
	}
	expected := request.Header.Get(names["expect"])
	header := fmt.Sprintf("Connection: close\r\n%s: %s\r\n%s: %s\r\n", names["request_id"], request.Header.Get(names["request_id"]), names["replica_id"], r.id)
	switch {
	case expected != "" && expected != r.id:
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 421 Misdirected Request\r\n%sContent-Length: 0\r\n\r\n", header)
	case request.URL.Path == "/health":
		// All that it says of itself has the start of its process.
		text := fmt.Sprintf(`{"born":%d}`, r.born)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", header, len(text), text)
		fmt.Printf("health\n")
	case request.URL.Path == "/report" && r.events > 0:
		text := fmt.Sprintf(`{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv-used":0,"kv-total":405000,"handles":0,"born":%d}`, r.born)
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%sContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", header, len(text), text)
		fmt.Printf("report\n")
	case request.URL.Path == "/report": // only engines report
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 404 Not Found\r\n%sContent-Length: 0\r\n\r\n", header)
	case r.events > 0:
		r.stream(conn, request, header)
	default:
		r.answer(conn, request, header, len(body))
	}
}

// streamEvent returns an event of a stream.
func streamEvent(id int, request string) string {
	return fmt.Sprintf("id: %d\ndata: piece %d of the answer to %s\n\n", id, id, request)
}

// wholeStream returns all events of a stream.
func wholeStream(events int, request string) string {
	var b strings.Builder
	for id := 1; id <= events; id++ {
		_, _ = b.WriteString(streamEvent(id, request))
	}
	return b.String()
}

// lateQuery marks the requests whose answers take the times of the flags, and are unframed if
// the replica has such answers. Others are answered within some milliseconds.
const lateQuery = "late=1"

// usualWork is the time until the answer to another request begins.
const usualWork = 15 * time.Millisecond

// stream answers with events, in chunks or until the end of the connection, from the one after
// Last-Event-Id on.
func (r *replicaServer) stream(conn net.Conn, request *http.Request, header string) {
	id := request.Header.Get(names["request_id"])
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // 0 if there is none
	fmt.Printf("runs %s %s %s after event %d\n", id, request.Method, request.RequestURI, last)
	work, gap, unframed := usualWork, time.Millisecond, false
	if request.URL.RawQuery == lateQuery {
		work, gap, unframed = r.work, r.gap, r.unframed
	}
	time.Sleep(work)
	if unframed {
		fmt.Printf("unframed %s\n", id)
	} else {
		header += "Transfer-Encoding: chunked\r\n"
	}
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s: seal-of-%s\r\nContent-Type: text/event-stream\r\n\r\n", header, names["seal"], r.id)
	for event := last + 1; event <= r.events; event++ {
		text := streamEvent(event, id)
		if !unframed {
			text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		}
		if _, err := io.WriteString(conn, text); err != nil {
			fmt.Printf("stream %s cut after event %d\n", id, event)
			return
		}
		time.Sleep(gap)
	}
	if !unframed {
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	fmt.Printf("answered %s whole\n", id)
}

func (r *replicaServer) answer(conn net.Conn, request *http.Request, header string, bodyBytes int) {
	id := request.Header.Get(names["request_id"])
	fmt.Printf("runs %s %s %s, body of %d bytes, tenant %q, key %q\n", id, request.Method, request.RequestURI, bodyBytes,
		request.Header.Get(names["tenant"]), request.Header.Get(names["credential"]))
	work, rest, unframed := usualWork, time.Duration(0), false
	if request.URL.RawQuery == lateQuery {
		work, rest, unframed = r.work, r.rest, r.unframed
	}
	time.Sleep(work)
	text := wholeBody(id)
	if unframed {
		fmt.Printf("unframed %s\n", id)
	} else {
		header += fmt.Sprintf("Content-Length: %d\r\n", len(text))
	}
	half := len(text) / 2
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s%s: seal-of-%s\r\nContent-Type: text/plain\r\n\r\n%s", header, names["seal"], r.id, text[:half])
	time.Sleep(rest)
	_, _ = io.WriteString(conn, text[half:])
	fmt.Printf("answered %s whole\n", id)
}

// replica is the process of one replica, and the link to it.
type replica struct {
	w       *world
	id      string
	service string
	link    *link
	backend string // where the process listens
	options []string
	process *os.Process
	ended   <-chan struct{}
	log     string
	born    int64
	seq     int
}

// newReplica starts a replica behind a link and registers it.
func (w *world) newReplica(service, id string, options ...string) (*replica, error) {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	r := &replica{w: w, service: service, id: id, options: options, backend: fmt.Sprintf("127.0.0.1:%d", port), log: filepath.Join(w.dir, id+".log")}
	if r.link, err = newLink(w, id, r.backend); err != nil {
		return nil, err
	}
	return r, r.start()
}

// start starts the process, waits until it listens and registers it.
func (r *replica) start() error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	r.born = time.Now().UnixMilli()
	args := append([]string{"replica", "--address", r.backend, "--id", r.id, "--born", fmt.Sprint(r.born)}, r.options...)
	if r.process, r.ended, err = r.w.start(log, r.w.program, args...); err != nil {
		return err
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp4", r.backend)
		if err == nil {
			_ = conn.Close()
			r.w.note("replica %s runs, born %d", r.id, r.born)
			return r.register("ready")
		}
	}
	return fmt.Errorf("replica %s does not listen", r.id)
}

// register writes the entry of the replica to the store.
func (r *replica) register(state string) error {
	return r.w.store.put(names["servers"]+r.id, r.entry(state))
}

// entry returns the next entry of the replica.
func (r *replica) entry(state string) map[string]any {
	r.seq++
	entry := map[string]any{
		"service": r.service, "address": r.link.address, "zone": zones[0], "version": "v1", "slots": 6, "state": state, names["warm_up"]: 0, "seq": r.seq,
		"born": r.born,
	}
	if r.service == modelName {
		entry["slots"], entry["stage"] = 16, "colocated"
		entry["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return entry
}

// kill ends the process as a crash does.
func (r *replica) kill() {
	_ = r.process.Signal(syscall.SIGKILL) // it may have ended
	<-r.ended
	r.w.note("replica %s crashed", r.id)
}

// count returns how many lines the processes of the replica have printed that begin with a
// word.
func (r *replica) count(word string) int {
	return strings.Count("\n"+r.output(), "\n"+word+" ")
}

// maxUnframed is the share of its answers that a replica may give without a length, as the
// largest dose of the site's days says.
const maxUnframed = 0.05

// checkUnframed returns an error if a replica has given more unframed answers than that.
func checkUnframed(replicas []*replica) error {
	for _, r := range replicas {
		runs, unframed := r.count("runs"), r.count("unframed")
		r.w.note("replica %s: %d of %d answers unframed", r.id, unframed, runs)
		if float64(unframed) > maxUnframed*float64(runs) {
			return fmt.Errorf("replica %s gave %d of %d answers without a length", r.id, unframed, runs)
		}
	}
	return nil
}

// warmUp sends usual requests until each replica has run some.
func (w *world) warmUp(c call, replicas []*replica, runs int) error {
	const clients, most = 24, 400
	for range most {
		var wg sync.WaitGroup
		for i := range clients {
			wg.Go(func() { w.send(w.relays[i%len(w.relays)], c) })
		}
		wg.Wait()
		if !slices.ContainsFunc(replicas, func(r *replica) bool { return r.count("runs") < runs }) {
			return nil
		}
	}
	return fmt.Errorf("no %d requests reached each replica", runs)
}

// output returns what the processes of the replica have printed.
func (r *replica) output() string {
	data, err := os.ReadFile(r.log)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
