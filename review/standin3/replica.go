//go:build review3

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
	"strconv"
	"strings"
	"sync"
	"time"
)

// Work of a replica on one request, as on the sheet of a small deployment.
const (
	callWork    = 15 * time.Millisecond
	restWork    = 5 * time.Millisecond // between the halves of an answer
	prefillWork = 40 * time.Millisecond
	eventGap    = 20 * time.Millisecond
	streamSize  = 8 // events of a stream
	answerBytes = 800
)

// replicaServer is the process of one replica.
type replicaServer struct {
	id     string
	born   int64
	engine bool
	// deadly marks the requests that crash the process: a part of the prompt, or the path.
	deadly string
	// headFirst tells that the head and a half of the answer to a deadly call leave before the
	// crash.
	headFirst bool
	// eventsFirst is how many events of a deadly stream leave before the crash.
	eventsFirst int
}

func serveReplica(args []string) error {
	flags := flag.NewFlagSet("replica", flag.ContinueOnError)
	s := &replicaServer{}
	address := flags.String("address", "", "IP:port to listen at")
	flags.StringVar(&s.id, "id", "", "identifier")
	flags.Int64Var(&s.born, "born", 0, "start in Unix milliseconds")
	flags.BoolVar(&s.engine, "engine", false, "serve streams and reports")
	flags.StringVar(&s.deadly, "deadly", "", "text in the prompt parts or the path of requests that crash the process")
	flags.BoolVar(&s.headFirst, "head-first", false, "the head and a half of the answer to a call leave before the crash")
	flags.IntVar(&s.eventsFirst, "events-first", 0, "events that leave before the crash")
	if err := flags.Parse(args); err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", *address)
	if err != nil {
		return err
	}
	for {
		conn, err := listener.Accept()
		if err != nil {
			return err
		}
		go s.serve(conn)
	}
}

// say writes a line to the output of the process, with the wall-clock time.
func say(format string, args ...any) {
	_, _ = os.Stdout.WriteString(fmt.Sprintf("%d ", time.Now().UnixMicro()) + fmt.Sprintf(format, args...) + "\n")
}

// serve answers the requests of one connection.
func (s *replicaServer) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, request.Body); err != nil {
			return
		}
		if !s.answer(conn, request) || request.Close {
			return
		}
	}
}

func (s *replicaServer) answer(conn io.Writer, request *http.Request) bool {
	id := request.Header.Get(names["request_id"])
	expected := request.Header.Get(names["expect"])
	about := `"born":` + strconv.FormatInt(s.born, 10)
	switch {
	case expected != "" && expected != s.id:
		return s.write(conn, 421, id, "", "")
	case request.URL.Path == "/health":
		return s.write(conn, 200, id, "", "{"+about+"}")
	case request.URL.Path == "/report" && s.engine:
		return s.write(conn, 200, id, "", `{"stage":"colocated","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":0,"queued":0,"running":0,"kv-used":0,"kv-total":405000,"handles":0,`+about+"}")
	case id == "":
		return s.write(conn, 400, id, names["not_executed"]+": 1\r\n", "")
	case s.engine:
		return s.stream(conn, request, id)
	default:
		return s.call(conn, request, id)
	}
}

// write writes an answer with a length.
func (s *replicaServer) write(conn io.Writer, status int, id, header, body string) bool {
	_, err := fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\n%s: %s\r\n%s: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status),
		names["request_id"], id, names["replica_id"], s.id, header, len(body), body)
	return err == nil
}

func (s *replicaServer) call(conn io.Writer, request *http.Request, id string) bool {
	deadly := s.deadly != "" && strings.Contains(request.RequestURI, s.deadly)
	say("runs %s deadly=%v %s", id, deadly, request.RequestURI)
	time.Sleep(callWork)
	body := strings.Repeat("answer to "+id+". ", answerBytes/28+1)[:answerBytes]
	if deadly {
		if s.headFirst {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Length: %d\r\n\r\n%s",
				names["request_id"], id, names["replica_id"], s.id, names["seal"], s.id, len(body), body[:len(body)/2])
			time.Sleep(restWork)
		}
		say("crashes %s", id)
		os.Exit(1)
	}
	return s.write(conn, 200, id, names["seal"]+": seal-of-"+s.id+"\r\n", body)
}

func (s *replicaServer) stream(conn io.Writer, request *http.Request, id string) bool {
	deadly := s.deadly != "" && strings.Contains(request.Header.Get(names["parts"]), s.deadly)
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id")) // none is 0
	say("runs %s deadly=%v after=%d", id, deadly, last)
	time.Sleep(prefillWork)
	_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\n%s: %s\r\n%s: seal-of-%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		names["request_id"], id, names["replica_id"], s.id, names["seal"], s.id)
	for event := last + 1; event <= max(streamSize, last+1) && err == nil; event++ {
		if deadly && event-last > s.eventsFirst {
			say("crashes %s", id)
			os.Exit(1)
		}
		text := fmt.Sprintf("id: %d\ndata: piece %d of the answer to %s\n\n", event, event, id)
		_, err = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text)
		time.Sleep(eventGap)
	}
	if err == nil {
		_, err = io.WriteString(conn, "0\r\n\r\n")
	}
	return err == nil
}

// replica is one replica of the deployment; its process starts again after it has ended.
type replica struct {
	w       *world
	service string
	address string
	options []string
	log     string
	zone    string

	mu      sync.Mutex
	id      string
	born    int64
	seq     int
	process *process
}

// startReplica starts a replica and registers it.
func (w *world) startReplica(service string, number int, options ...string) (*replica, error) {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	r := &replica{
		w: w, service: service, address: fmt.Sprintf("127.0.0.1:%d", port), options: options, zone: zones[number%len(zones)],
		log: filepath.Join(w.dir, fmt.Sprintf("%s-%d.log", service, number)),
	}
	return r, r.start()
}

// start starts the process under a new identifier and registers it.
func (r *replica) start() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	r.mu.Lock()
	r.id, r.born = "i-"+newID()[:8], time.Now().UnixMilli()
	args := append([]string{"replica", "--address", r.address, "--id", r.id, "--born", strconv.FormatInt(r.born, 10)}, r.options...)
	r.process, err = r.w.start(r.log, program, args...)
	r.mu.Unlock()
	if err != nil {
		return err
	}
	for until := time.Now().Add(5 * time.Second); time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		conn, err := net.Dial("tcp4", r.address)
		if err == nil {
			_ = conn.Close()
			return r.register()
		}
	}
	return fmt.Errorf("replica %s does not listen", r.id)
}

// register writes the entry of the replica.
func (r *replica) register() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seq++
	e := map[string]any{
		"service": r.service, "address": r.address, "zone": r.zone, "version": "v1", "slots": 6, "state": "ready", names["cold_field"]: 0,
		"seq": r.seq, "born": r.born,
	}
	if r.service == modelName {
		e["slots"], e["stage"], e["models"] = 16, "colocated", []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}
	}
	return r.w.store.put(names["server_prefix"]+r.id, e)
}

// output returns the lines that the processes of the replica wrote.
func (r *replica) output() ([]string, error) {
	data, err := os.ReadFile(r.log)
	return strings.Split(strings.TrimSpace(string(data)), "\n"), err
}
