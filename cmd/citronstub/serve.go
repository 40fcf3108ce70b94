package main

import (
	"net/http"
	"os"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"github.com/citronscale/citronscale/event"
	"github.com/citronscale/citronscale/internal/stub/stubhttp"
)

// exitCrash is the exit code of a stand-in that was told to crash.
const exitCrash = 3

func newLogger() *event.Logger {
	return event.NewLogger(&log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: os.Stderr}})
}

// serve runs a stand-in until the process is told to stop.
func serve(name, address string, handler http.Handler, gate *stubhttp.Gate) error {
	logger := newLogger()
	server, err := stubhttp.Listen(address, handler, gate)
	if err != nil {
		return err
	}
	logger.Emit(event.ProcessReady).Str("stand_in", name).Str("address", server.Address()).Msg("")
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	<-signals
	server.Close()
	logger.Emit(event.ProcessStopped).Str("stand_in", name).Msg("")
	return nil
}

func crash() {
	os.Exit(exitCrash)
}
