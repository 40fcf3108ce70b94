package stubhttp

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// WriteJSON answers with value.
func WriteJSON(w http.ResponseWriter, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(data) // the reader may be gone
}

// Parameter is a query parameter of a control call.
type Parameter interface {
	bool | uint64 | float64 | time.Duration
}

// Control adapts set to a control call with one query parameter.
func Control[T Parameter](name string, set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		value, err := parse[T](r.URL.Query().Get(name))
		if err != nil {
			http.Error(w, fmt.Sprintf("parameter %q: %v", name, err), http.StatusBadRequest)
			return
		}
		set(value)
		w.WriteHeader(http.StatusNoContent)
	}
}

// Do adapts action to a control call without parameters.
func Do(action func()) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		action()
		w.WriteHeader(http.StatusNoContent)
	}
}

func parse[T Parameter](text string) (T, error) {
	var value T
	var err error
	switch p := any(&value).(type) {
	case *bool:
		*p, err = strconv.ParseBool(text)
	case *uint64:
		*p, err = strconv.ParseUint(text, 10, 64)
	case *float64:
		*p, err = strconv.ParseFloat(text, 64)
	case *time.Duration:
		*p, err = time.ParseDuration(text)
	}
	return value, err
}
