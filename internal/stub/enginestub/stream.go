package enginestub

import (
	"encoding/json"
	"errors"
	"net/http"

	"github.com/citronscale/citronscale/internal/stub/stubhttp"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

func (e *Engine) handleGenerate(w http.ResponseWriter, r *http.Request) {
	var message enginewire.Generate
	if !readMessage(w, r, &message) {
		return
	}
	parts, refused := e.collectParts(r.Context(), &message)
	if refused != nil {
		refuse(w, refused)
		return
	}
	j := newGenerateJob(&message, parts)
	if refused := e.startGenerate(&message, j); refused != nil {
		refuse(w, refused)
		return
	}
	if len(message.Members) > 0 {
		done := make(chan struct{})
		defer close(done)
		go e.watchMembers(done, j, message.Members)
	}
	e.serveStream(w, r, j)
}

// serveStream writes the frames of a job until its answer is whole. A reader
// that is gone leaves the job and its memory behind.
func (e *Engine) serveStream(w http.ResponseWriter, r *http.Request, j *job) {
	w.Header().Set("Content-Type", enginewire.ContentTypeStream)
	if err := flush(w); err != nil {
		return
	}
	sent := j.run.FirstOffset
	for {
		select {
		case <-j.changed:
		case <-r.Context().Done():
			return
		case <-e.closed:
			panic(http.ErrAbortHandler)
		}
		if err := e.Gate.Wait(r.Context()); err != nil {
			return
		}
		frames, last := e.nextFrames(j, sent)
		if err := writeFrames(w, frames); err != nil {
			return
		}
		sent = e.markSent(j, frames)
		if last {
			return
		}
	}
}

// nextFrames returns the frames after offset sent and whether the last of them
// ends the stream.
func (e *Engine) nextFrames(j *job, sent uint64) ([]enginewire.Frame, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if j.state == stateCancelled || j.state == stateFailed {
		return []enginewire.Frame{{Attempt: j.key, Offset: sent, Error: j.fault}}, true
	}
	var frames []enginewire.Frame
	if j.generated > sent {
		frame := enginewire.Frame{
			Attempt: j.key,
			Offset:  sent,
			Text:    AnswerText(j.digest, sent, j.generated),
			Tokens:  uint32(j.generated - sent),
		}
		if sent == j.run.FirstOffset {
			frame.CachedTokens = j.cached
		}
		frames = append(frames, frame)
	}
	if j.state != stateFinished {
		return frames, false
	}
	end := enginewire.Frame{Attempt: j.key, Offset: j.generated, Done: true, FinishReason: j.reason}
	return append(frames, end), true
}

// markSent records what was written. The end marker frees the memory.
func (e *Engine) markSent(j *job, frames []enginewire.Frame) uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, frame := range frames {
		j.run.SentOffset = max(j.run.SentOffset, frame.Offset+uint64(frame.Tokens))
		if frame.Done {
			j.run.Whole = true
			e.remove(j)
		}
	}
	return j.run.SentOffset
}

func writeFrames(w http.ResponseWriter, frames []enginewire.Frame) error {
	if len(frames) == 0 {
		return nil
	}
	var buffer []byte
	for _, frame := range frames {
		data, err := json.Marshal(frame)
		if err != nil {
			return err
		}
		buffer = append(buffer, "data: "...)
		buffer = append(buffer, data...)
		buffer = append(buffer, "\n\n"...)
	}
	if _, err := w.Write(buffer); err != nil {
		return err
	}
	return flush(w)
}

func flush(w http.ResponseWriter) error {
	return http.NewResponseController(w).Flush()
}

// handlePrefill accepts at once and answers when the part is computed.
func (e *Engine) handlePrefill(w http.ResponseWriter, r *http.Request) {
	var message enginewire.Prefill
	if !readMessage(w, r, &message) {
		return
	}
	j, refused := e.startPrefill(&message)
	if refused != nil {
		refuse(w, refused)
		return
	}
	if err := flush(w); err != nil {
		return
	}
	result, err := e.waitPrefill(r, j)
	if err != nil {
		return
	}
	if err := e.Gate.Wait(r.Context()); err != nil {
		return
	}
	stubhttp.WriteJSON(w, result)
}

var errClosed = errors.New("the engine was closed")

func (e *Engine) waitPrefill(r *http.Request, j *job) (enginewire.Prefilled, error) {
	for {
		select {
		case <-j.changed:
		case <-r.Context().Done():
			return enginewire.Prefilled{}, r.Context().Err()
		case <-e.closed:
			return enginewire.Prefilled{}, errClosed
		}
		if result, ended := e.prefilled(j); ended {
			return result, nil
		}
	}
}

func (e *Engine) prefilled(j *job) (enginewire.Prefilled, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch j.state {
	case stateFinished:
		return enginewire.Prefilled{Tokens: j.run.PromptTokens, CachedTokens: j.cached}, true
	case stateCancelled, stateFailed:
		return enginewire.Prefilled{Error: j.fault}, true
	default:
		return enginewire.Prefilled{}, false
	}
}
