package record

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
)

// Kind is the kind of event that an entry records.
type Kind string

// Kinds of entries.
const (
	Admitted  Kind = "admitted"  // the host issued the identifier of a request of a known team
	Queued    Kind = "queued"    // the request waits; the detail names the reason
	Sending   Kind = "sending"   // the request may be sent to an upstream from now on
	Refused   Kind = "refused"   // the attempt certainly did not run
	Running   Kind = "running"   // the upstream sent the first part of its answer
	Broken    Kind = "broken"    // the attempt ended without a complete answer
	Forwarded Kind = "forwarded" // handed to the host that issued the key
	Received  Kind = "received"  // received from another host
	Replayed  Kind = "replayed"  // answered with a recorded outcome of another request
	Finished  Kind = "finished"  // the request ended with the code
)

// Entry is one event of a request at a host.
type Entry struct {
	Request  ident.Request
	Time     time.Time
	Kind     Kind
	Attempt  uint64 // number of the attempt; zero if the event concerns none
	Team     string
	Upstream upstream.Name
	Peer     ident.Host // with Forwarded and Received
	Code     code.Code
	Detail   string // without prompt text, answer text or tokens
}

// MaxDetailBytes bounds the detail of an entry.
const MaxDetailBytes = 200

// entryDocument is the JSON form of an entry.
type entryDocument struct {
	Request  string    `json:"request"`
	Time     time.Time `json:"time"`
	Kind     Kind      `json:"kind"`
	Attempt  uint64    `json:"attempt,omitempty"`
	Team     string    `json:"team,omitempty"`
	Upstream string    `json:"upstream,omitempty"`
	Peer     string    `json:"peer,omitempty"`
	Code     int       `json:"code"`
	CodeName string    `json:"code_name"`
	Detail   string    `json:"detail,omitempty"`
}

// MarshalJSON writes the identifier and the code in readable form.
func (e Entry) MarshalJSON() ([]byte, error) {
	return json.Marshal(entryDocument{
		Request: e.Request.String(), Time: e.Time.UTC(), Kind: e.Kind, Attempt: e.Attempt, Team: e.Team,
		Upstream: string(e.Upstream), Peer: string(e.Peer), Code: int(e.Code), CodeName: e.Code.Name(), Detail: e.Detail,
	})
}

// UnmarshalJSON reads the form that MarshalJSON writes.
func (e *Entry) UnmarshalJSON(data []byte) error {
	var doc entryDocument
	if err := json.Unmarshal(data, &doc); err != nil {
		return err
	}
	request, err := ident.ParseRequest(doc.Request)
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	*e = Entry{
		Request: request, Time: doc.Time, Kind: doc.Kind, Attempt: doc.Attempt, Team: doc.Team,
		Upstream: upstream.Name(doc.Upstream), Peer: ident.Host(doc.Peer), Code: code.Code(doc.Code), Detail: doc.Detail,
	}
	return nil
}
