package keyed

import (
	"time"

	"github.com/citronscale/citronscale/code"
)

func (w *simulation) kill() {
	w.restart(w.host("victim"))
}

// freeze pauses or resumes a host and advances the time.
func (w *simulation) freeze() {
	h := w.host("sleeper")
	h.frozen = !h.frozen
	w.now = w.now.Add(time.Duration(w.choose.Pick("pause", 8000)) * time.Millisecond)
}

func (w *simulation) toggleCut() {
	from, to := w.choose.Pick("from", testHosts), w.choose.Pick("to", testHosts)
	w.cut[from][to] = !w.cut[from][to]
}

func (w *simulation) loseMessage() {
	if len(w.inTransit) == 0 {
		return
	}
	at := w.choose.Pick("lost", len(w.inTransit))
	lost := w.inTransit[at]
	w.inTransit = append(w.inTransit[:at], w.inTransit[at+1:]...)
	if lost.from >= 0 {
		w.answer(lost.copy, code.KeyIssuerLost) // the entry host receives no answer
	}
}

func (w *simulation) duplicateMessage() {
	if len(w.inTransit) > 0 {
		w.inTransit = append(w.inTransit, w.inTransit[w.choose.Pick("doubled", len(w.inTransit))])
	}
}

// stepClock sets the clock of a host forward or back.
func (w *simulation) stepClock() {
	w.host("clock").offset = time.Duration(w.choose.Pick("offset", 80)-40) * time.Second
}
