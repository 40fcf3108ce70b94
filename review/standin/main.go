//go:build review

// Command standin plays one case of the review: it starts the stand-ins of the platform,
// the upstreams and the callers, and the relays as processes of their own.
//
// It exits with 0 if the rule held, 1 if it was broken and 2 if the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// cases maps names to functions that return whether the rule held.
var cases = map[string]func(w *world) (bool, error){}

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// closeOnSignal ends all processes of the case when this one is told to end.
func (w *world) closeOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	w.close()
	os.Exit(exitFailed)
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE RECORD")
		return exitFailed
	}
	file, err := os.Create(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	w := &world{log: &recorder{file: file, start: time.Now()}, trouble: os.Getenv("TROUBLE") != "0"}
	defer w.close()
	if w.folder, err = os.MkdirTemp("", "review-"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.log.printf("case %s, disruption %v", args[0], w.trouble)
	go w.closeOnSignal()
	held, err := cases[args[0]](w)
	if err != nil {
		w.log.printf("the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	if !held {
		w.log.printf("result: the rule was broken")
		return exitBroken
	}
	w.log.printf("result: the rule held")
	return exitHeld
}
