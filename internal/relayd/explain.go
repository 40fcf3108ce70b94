package relayd

import (
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/citronscale/citronscale/code"
	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/relay"
)

// serveExplain answers where a request would go now. The query has the fields host, path,
// team, prompt, answer and part; part may be repeated.
func (d *Daemon) serveExplain(w http.ResponseWriter, r *http.Request) {
	question, err := parseQuestion(r.URL.Query())
	if err != nil {
		http.Error(w, code.Describe(err), http.StatusBadRequest)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(d.relay.Explain(r.Context(), question)); err != nil {
		d.log.Emit(event.OutputFailed).Err(err).Msg("write an explanation")
	}
}

func parseQuestion(query url.Values) (relay.Question, error) {
	q := relay.Question{Host: query.Get("host"), Path: query.Get("path"), Team: query.Get("team")}
	for _, field := range []struct {
		name string
		into *int
	}{{"prompt", &q.PromptTokens}, {"answer", &q.AnswerTokens}} {
		text := query.Get(field.name)
		if text == "" {
			continue
		}
		n, err := strconv.Atoi(text)
		if err != nil || n < 0 {
			return q, code.New(code.BadRequest, "%s = %q: must be a number of tokens", field.name, text)
		}
		*field.into = n
	}
	for _, text := range query["part"] {
		part, err := strconv.ParseUint(text, 16, 64)
		if err != nil {
			return q, code.New(code.BadRequest, "part = %q: must be a hexadecimal number", text)
		}
		q.Parts = append(q.Parts, part)
	}
	return q, nil
}
