//go:build review3

package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases are the scripts by name. Each reports whether its rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){
	"rewound-restart": rewoundRestart,
	"first-event":     firstEvent,
	"same-moment":     sameMoment,
	"answer-begun":    answerBegun,
	"slow-upload":     slowUpload,
}

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin3:", err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) > 0 && args[0] == "replica" {
		return exitNotRun, serveReplica(args[1:])
	}
	if len(args) != 3 || args[0] != "case" || cases[args[1]] == nil {
		return exitNotRun, errors.New("usage: standin3 case NAME FOLDER")
	}
	w, err := newWorld(args[2])
	if err != nil {
		return exitNotRun, err
	}
	defer w.close()
	broken, err := cases[args[1]](w)
	switch {
	case err != nil:
		w.note("result: the case could not run: %v", err)
		return exitNotRun, err
	case broken:
		w.note("result: the rule was broken")
		return exitBroken, nil
	default:
		w.note("result: the rule held")
		return exitHeld, nil
	}
}
