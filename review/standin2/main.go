//go:build review2

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

// cases are the scripts by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world) (broken bool, err error){}

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin2:", err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) >= 1 && args[0] == "replica" {
		return exitNotRun, runReplica(args[1:])
	}
	if len(args) != 3 || args[0] != "case" || cases[args[1]] == nil {
		return exitNotRun, errors.New("usage: standin2 case NAME FOLDER")
	}
	w, err := newWorld(args[2])
	if err != nil {
		return exitNotRun, err
	}
	broken, err := cases[args[1]](w)
	err = errors.Join(err, w.close(broken, err))
	switch {
	case err != nil:
		return exitNotRun, err
	case broken:
		return exitBroken, nil
	default:
		return exitHeld, nil
	}
}
