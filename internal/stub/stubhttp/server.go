package stubhttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"
)

// Server serves a stand-in.
type Server struct {
	listener net.Listener
	server   *http.Server
}

// Listen serves handler behind gate at address, an IP:port whose port can be
// zero.
func Listen(address string, handler http.Handler, gate *Gate) (*Server, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	const headerTimeout = 10 * time.Second
	s := &Server{
		listener: listener,
		server: &http.Server{
			Handler:           gate.wrap(handler),
			ConnContext:       gate.connContext,
			ReadHeaderTimeout: headerTimeout,
		},
	}
	go s.serve()
	return s, nil
}

func (s *Server) serve() {
	if err := s.server.Serve(s.listener); !errors.Is(err, http.ErrServerClosed) {
		panic("stubhttp: " + err.Error())
	}
}

// Address returns the IP:port that the server listens at.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Close ends the server and cuts its connections.
func (s *Server) Close() {
	_ = s.server.Close() // nothing is left to do if it fails
}

// Shutdown ends the server after the requests in flight, or when ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	return s.server.Shutdown(ctx)
}
