package api

import (
	"io"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/prompt"
)

// The framing of a server-sent event.
const (
	eventPrefix = "data: "
	eventSuffix = "\n\n"
)

// maxBatchBytes is the size from which no more events are added to a batch.
const maxBatchBytes = 32 << 10

// eventStream is a response body that sends an answer as server-sent events. Each
// write waits for one token and includes all that are ready by then, so that
// tokens which arrive together are sent in one write.
type eventStream struct {
	answer *prompt.Answer
	// batch holds the encoded events of one write. Read has returned its first
	// offset bytes.
	batch  []byte
	offset int
	done   bool
	// encodeError returns the data of the last event of a failed answer.
	encodeError func(error) []byte
	// onClose is called by the first Close, unless it is nil.
	onClose func()
}

// SupportsBodyWriteTo reports to fasthttp that WriteTo can be used in place of
// Read.
func (s *eventStream) SupportsBodyWriteTo() bool { return true }

// WriteTo implements io.WriterTo. It writes each batch with one call of Write.
func (s *eventStream) WriteTo(w io.Writer) (int64, error) {
	total := int64(0)
	for s.fillBatch() {
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
	if s.offset == len(s.batch) {
		s.batch, s.offset = s.batch[:0], 0
		if !s.fillBatch() {
			return 0, io.EOF
		}
	}
	n := copy(p, s.batch[s.offset:])
	s.offset += n
	return n, nil
}

// fillBatch fills the empty batch: it waits for the first event and adds those
// that are ready. It reports false at the end of the stream.
func (s *eventStream) fillBatch() bool {
	for !s.done && len(s.batch) < maxBatchBytes {
		data, err := s.answer.Next(len(s.batch) == 0)
		if err != nil {
			s.addLast(err)
			break
		}
		if data == nil {
			break
		}
		s.addEvent(data)
	}
	return len(s.batch) > 0
}

// addEvent appends an event to the batch.
func (s *eventStream) addEvent(data []byte) {
	s.batch = append(s.batch, eventPrefix...)
	s.batch = append(s.batch, data...)
	s.batch = append(s.batch, eventSuffix...)
}

// addLast adds the last event: the end marker for io.EOF, otherwise the failure.
func (s *eventStream) addLast(err error) {
	s.done = true
	if errors.Is(err, io.EOF) {
		s.addEvent([]byte(wire.StreamDone))
		return
	}
	s.addEvent(s.encodeError(err))
}

// Close implements io.Closer; fasthttp calls it after the last write.
func (s *eventStream) Close() error {
	s.answer.Close()
	if s.onClose != nil {
		s.onClose()
		s.onClose = nil
	}
	return nil
}
