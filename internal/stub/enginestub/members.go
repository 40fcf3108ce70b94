package enginestub

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

const (
	memberTimeout       = time.Second
	memberWatchInterval = 250 * time.Millisecond
)

// collectParts reads what the members of a request hold, in prompt order.
func (e *Engine) collectParts(ctx context.Context, message *enginewire.Generate) ([]enginewire.Export, *refusal) {
	parts := make([]enginewire.Export, 0, len(message.Members))
	for i, member := range message.Members {
		part, err := e.readPart(ctx, ident.Attempt(message.Attempt), member)
		if err != nil {
			return nil, &refusal{upstream.RefusedMemberLost, fmt.Sprintf("member %q: %v", member.Name, err)}
		}
		if part.Part != uint32(i) {
			return nil, &refusal{upstream.RefusedBadRequest, fmt.Sprintf("member %q holds part %d, not %d", member.Name, part.Part, i)}
		}
		parts = append(parts, part)
	}
	return parts, nil
}

func (e *Engine) readPart(ctx context.Context, attempt ident.Attempt, member enginewire.Member) (enginewire.Export, error) {
	if member.Name == e.options.Name {
		part, ok := e.exported(attempt)
		if !ok {
			return enginewire.Export{}, fmt.Errorf("the attempt holds no part here")
		}
		return part, nil
	}
	query := url.Values{}
	query.Set(enginewire.ParameterAttempt, attempt.String())
	address := "http://" + member.Address + enginewire.PathExport + "?" + query.Encode()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, address, nil)
	if err != nil {
		return enginewire.Export{}, err
	}
	resp, err := e.peers.Do(req)
	if err != nil {
		return enginewire.Export{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return enginewire.Export{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	var part enginewire.Export
	err = json.NewDecoder(resp.Body).Decode(&part)
	return part, err
}

// watchMembers fails a job once one of its members has lost its part.
func (e *Engine) watchMembers(done <-chan struct{}, j *job, members []enginewire.Member) {
	ticker := time.NewTicker(memberWatchInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-done:
			return
		case <-e.closed:
			return
		}
		for _, member := range members {
			if _, err := e.readPart(context.Background(), j.attempt, member); err != nil {
				e.fail(j, fmt.Sprintf("member %q is lost: %v", member.Name, err))
				return
			}
		}
	}
}

func (e *Engine) fail(j *job, fault string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.jobs[j.key] != j {
		return
	}
	e.remove(j)
	j.end(stateFailed, fault)
}
