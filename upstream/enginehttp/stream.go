package enginehttp

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/citronscale/citronscale/ident"
	"github.com/citronscale/citronscale/upstream"
	"github.com/citronscale/citronscale/upstream/enginewire"
)

var (
	errNoEndMarker = errors.New("the stream ended without its end marker")
	dataPrefix     = []byte("data:")
)

type stream struct {
	engine      *engine
	attempt     ident.Attempt // that the stream was requested for
	attemptText string        // textual form of attempt
	body        io.ReadCloser
	lines       *bufio.Reader
	longLine    []byte // buffer for a line that exceeds the buffer of lines
	cancel      context.CancelFunc
	close       sync.Once
	done        atomic.Bool
	err         error
}

func newStream(e *engine, body io.ReadCloser, cancel context.CancelFunc, attempt ident.Attempt) *stream {
	const bufferBytes = 1 << 10
	return &stream{
		engine:      e,
		attempt:     attempt,
		attemptText: attempt.String(),
		body:        body,
		lines:       bufio.NewReaderSize(body, bufferBytes),
		cancel:      cancel,
	}
}

// Next implements upstream.Stream.
func (s *stream) Next() (upstream.Frame, error) {
	if s.done.Load() {
		return upstream.Frame{}, io.EOF
	}
	if s.err != nil {
		return upstream.Frame{}, s.err
	}
	frame, err := s.read()
	if err != nil {
		s.fail(err)
		return upstream.Frame{}, s.err
	}
	if frame.Done {
		s.done.Store(true)
	}
	return frame, nil
}

func (s *stream) read() (upstream.Frame, error) {
	data, err := s.nextData()
	if errors.Is(err, io.EOF) {
		return upstream.Frame{}, errNoEndMarker
	}
	if err != nil {
		return upstream.Frame{}, err
	}
	var message enginewire.Frame
	if err := json.Unmarshal(data, &message); err != nil {
		return upstream.Frame{}, fmt.Errorf("decode frame: %w", err)
	}
	if message.Error != "" {
		return upstream.Frame{}, fmt.Errorf("the engine aborted the answer: %s", message.Error)
	}
	attempt, err := s.parseAttempt(&message)
	if err != nil {
		return upstream.Frame{}, fmt.Errorf("decode attempt of frame: %w", err)
	}
	return message.Upstream(attempt), nil
}

// parseAttempt returns the attempt of a frame. Most frames carry the requested
// one, which is not parsed again. A frame of another attempt is no error here:
// the caller of Next checks the attempt.
func (s *stream) parseAttempt(message *enginewire.Frame) (ident.Attempt, error) {
	if message.Attempt == s.attemptText {
		return s.attempt, nil
	}
	return ident.ParseAttempt(message.Attempt)
}

// nextData returns the data of the next event. An incomplete last line is
// ignored.
func (s *stream) nextData() ([]byte, error) {
	for {
		line, err := s.nextLine()
		if err != nil {
			return nil, err
		}
		if data, ok := bytes.CutPrefix(line, dataPrefix); ok {
			return data, nil
		}
	}
}

func (s *stream) nextLine() ([]byte, error) {
	line, err := s.lines.ReadSlice('\n')
	if !errors.Is(err, bufio.ErrBufferFull) {
		return line, err
	}
	s.longLine = append(s.longLine[:0], line...)
	for errors.Is(err, bufio.ErrBufferFull) {
		line, err = s.lines.ReadSlice('\n')
		s.longLine = append(s.longLine, line...)
		if len(s.longLine) > s.engine.client.options.MaxLineBytes {
			return nil, fmt.Errorf("line is longer than %d bytes", s.engine.client.options.MaxLineBytes)
		}
	}
	return s.longLine, err
}

func (s *stream) fail(err error) {
	s.engine.avoidPooledConnections()
	s.err = &upstream.Error{Upstream: s.engine.name, Sent: upstream.SentSome, Err: err}
	_ = s.Close()
}

// Close implements upstream.Stream.
func (s *stream) Close() error {
	var err error
	s.close.Do(func() {
		if s.done.Load() {
			s.drain()
		}
		err = s.body.Close()
		s.cancel()
	})
	return err
}

// drain reads the rest of the response after the end marker, so that the
// connection can be reused.
func (s *stream) drain() {
	const (
		maxRestBytes = 1 << 10
		drainTimeout = 50 * time.Millisecond
	)
	timer := time.AfterFunc(drainTimeout, s.cancel)
	defer timer.Stop()
	_, _ = io.CopyN(io.Discard, s.body, maxRestBytes) // the answer is complete already
}
