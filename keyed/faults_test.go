package keyed

import (
	"time"

	"github.com/citronscale/citronscale/code"
)

func (w *world) kill() {
	w.restart(w.host("victim"))
}

// freeze stops a host or lets it go on; time may jump meanwhile.
func (w *world) freeze() {
	h := w.host("sleeper")
	h.frozen = !h.frozen
	w.now = w.now.Add(time.Duration(w.choose.Pick("pause", 8000)) * time.Millisecond)
}

func (w *world) toggleCut() {
	from, to := w.choose.Pick("from", testHosts), w.choose.Pick("to", testHosts)
	w.cut[from][to] = !w.cut[from][to]
}

func (w *world) lose() {
	if len(w.wire) == 0 {
		return
	}
	at := w.choose.Pick("lost", len(w.wire))
	lost := w.wire[at]
	w.wire = append(w.wire[:at], w.wire[at+1:]...)
	if lost.from >= 0 {
		w.answer(lost.copy, code.KeyIssuerLost) // the entry host gets no answer
	}
}

func (w *world) duplicate() {
	if len(w.wire) > 0 {
		w.wire = append(w.wire, w.wire[w.choose.Pick("doubled", len(w.wire))])
	}
}

// stepClock sets the clock of a host forward or back.
func (w *world) stepClock() {
	w.host("clock").offset = time.Duration(w.choose.Pick("offset", 80)-40) * time.Second
}
