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

// maxBatchBytes bounds what is gathered for one write.
const maxBatchBytes = 32 << 10

// eventStream is an answer as the body of a response. Each write waits for one
// token and takes those that are ready with it, so that tokens that come
// together go out together.
type eventStream struct {
	answer *prompt.Answer
	// batch is what was gathered, and sent what of it Read handed out.
	batch []byte
	sent  int
	done  bool
	// failed encodes the last event of a failed answer.
	failed func(error) []byte
	// closed is called once, by Close.
	closed func()
}

// SupportsBodyWriteTo tells fasthttp that WriteTo writes what Read reads.
func (s *eventStream) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo: each batch is one write.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for s.gather() {
		n, err := w.Write(s.batch)
		total += int64(n)
		if err != nil {
			return total, errors.WithStack(err)
		}
		s.batch = s.batch[:0]
	}
	return total, nil
}

// Read implements io.Reader.
func (s *eventStream) Read(p []byte) (int, error) {
	if s.sent == len(s.batch) {
		s.batch, s.sent = s.batch[:0], 0
		if !s.gather() {
			return 0, io.EOF
		}
	}
	n := copy(p, s.batch[s.sent:])
	s.sent += n
	return n, nil
}

// gather fills an empty batch. It reports false at the end.
func (s *eventStream) gather() bool {
	for !s.done && len(s.batch) < maxBatchBytes {
		data, err := s.answer.Next(len(s.batch) == 0)
		if err != nil {
			s.end(err)
			break
		}
		if data == nil {
			break
		}
		s.add(data)
	}
	return len(s.batch) > 0
}

func (s *eventStream) add(data []byte) {
	s.batch = append(s.batch, eventStart...)
	s.batch = append(s.batch, data...)
	s.batch = append(s.batch, eventEnd...)
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

// Close implements io.Closer; fasthttp calls it after the last write.
func (s *eventStream) Close() error {
	s.answer.Close()
	if s.closed != nil {
		s.closed()
		s.closed = nil
	}
	return nil
}
