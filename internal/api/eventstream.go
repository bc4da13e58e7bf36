package api

import (
	"io"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

// The frame of a server-sent event.
const (
	eventStart = "data: "
	eventEnd   = "\n\n"
)

// eventStream is an answer as the body of a response. Each Read waits for one
// token and takes those that are ready with it, so that tokens that come
// together go out in one write.
type eventStream struct {
	answer *prompt.Answer
	// rest is what did not fit into the last Read.
	rest []byte
	done bool
	// failed encodes the last event of a failed answer.
	failed func(error) []byte
	// closed is called once, by Close.
	closed func()
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	n := s.flush(p)
	for n < len(p) && !s.done {
		data, err := s.answer.Next(n == 0)
		if err != nil {
			s.end(err)
			return n + s.flush(p[n:]), nil
		}
		if data == nil {
			return n, nil
		}
		n += s.write(p[n:], data)
	}
	if n == 0 && s.done {
		return 0, io.EOF
	}
	return n, nil
}

// write frames the data straight into p where it fits, and over rest otherwise.
func (s *eventStream) write(p, data []byte) int {
	if size := len(eventStart) + len(data) + len(eventEnd); size > len(p) {
		s.add(data)
		return s.flush(p)
	}
	n := copy(p, eventStart)
	n += copy(p[n:], data)
	return n + copy(p[n:], eventEnd)
}

// add frames the data into rest.
func (s *eventStream) add(data []byte) {
	s.rest = append(s.rest, eventStart...)
	s.rest = append(s.rest, data...)
	s.rest = append(s.rest, eventEnd...)
}

// flush moves what it can of rest into p.
func (s *eventStream) flush(p []byte) int {
	n := copy(p, s.rest)
	s.rest = s.rest[:copy(s.rest, s.rest[n:])]
	return n
}

// end adds the last event.
func (s *eventStream) end(err error) {
	s.done = true
	if errors.Is(err, io.EOF) {
		s.add([]byte(wire.StreamDone))
		return
	}
	s.add(s.failed(err))
}

// Close implements io.Closer; fasthttp calls it after the last Read.
func (s *eventStream) Close() error {
	s.answer.Close()
	if s.closed != nil {
		s.closed()
		s.closed = nil
	}
	return nil
}
