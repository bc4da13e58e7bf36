package endpoint

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// initialBufferBytes is the initial buffer size of a stream.
	initialBufferBytes = 4 << 10
	// maxReadBufferBytes is the size up to which the buffer grows when a read
	// fills it.
	maxReadBufferBytes = 32 << 10
	// maxEventBytes is the size up to which the buffer grows for one event.
	maxEventBytes = 1 << 20
)

// Event is one server-sent event. Its slices are valid until the next read.
type Event struct {
	ID   []byte
	Data []byte
}

// EventSizeError reports that an event does not fit into the largest buffer.
type EventSizeError struct{}

// Error implements error.
func (*EventSizeError) Error() string { return "endpoint: an event of the stream is too long" }

// eventReader parses the server-sent events of a body in its buffer, without
// copying them.
type eventReader struct {
	r io.Reader
	// buf[start:end] holds the bytes that were read and not yet returned.
	buf   []byte
	start int
	end   int
	// scanned is the position from which the search for the event's end continues.
	scanned int
	// full reports that the last read filled the buffer.
	full bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: r, buf: make([]byte, initialBufferBytes)}
}

// buffered reports whether next returns an event without reading: whether the buffer
// holds a complete event with data. It drops those without data before it.
func (e *eventReader) buffered() bool {
	for {
		end := e.eventEnd()
		if end < 0 {
			return false
		}
		if parseEvent(e.buf[e.start:end]).Data != nil {
			return true
		}
		e.start, e.scanned = end, end
	}
}

// next returns the next event with data. It returns io.EOF at the end of the body
// and discards an incomplete event before it.
func (e *eventReader) next() (Event, error) {
	for {
		end := e.eventEnd()
		if end < 0 {
			if err := e.fill(); err != nil {
				return Event{}, err
			}
			continue
		}
		event := parseEvent(e.buf[e.start:end])
		e.start, e.scanned = end, end
		if event.Data != nil {
			return event, nil
		}
	}
}

// eventEnd returns the position after the blank line that ends the first event, or
// -1 if the buffer holds no complete event.
func (e *eventReader) eventEnd() int {
	for i := e.scanned; i < e.end; {
		n := bytes.IndexByte(e.buf[i:e.end], '\n')
		if n < 0 {
			break
		}
		line := e.buf[i : i+n]
		i += n + 1
		if len(line) == 0 || len(line) == 1 && line[0] == '\r' {
			return i
		}
		e.scanned = i
	}
	return -1
}

// fill reads more data into the buffer. If the buffer is full, it moves the data
// to the front or grows the buffer.
func (e *eventReader) fill() error {
	if e.start == e.end {
		e.reset()
	}
	if e.end == len(e.buf) {
		if err := e.makeRoom(); err != nil {
			return err
		}
	}
	n, err := e.r.Read(e.buf[e.end:])
	e.end += n
	e.full = e.end == len(e.buf)
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// reset clears the positions of a consumed buffer. It doubles the buffer, up to
// maxReadBufferBytes, if the last read filled it.
func (e *eventReader) reset() {
	e.start, e.end, e.scanned = 0, 0, 0
	if e.full && len(e.buf) < maxReadBufferBytes {
		e.buf = make([]byte, 2*len(e.buf))
	}
}

// makeRoom moves the data to the front of the buffer, and grows the buffer if the
// data starts there already, or if the last read filled it and it is smaller than
// maxReadBufferBytes. It returns an EventSizeError for an event that fills a
// buffer of maxEventBytes.
func (e *eventReader) makeRoom() error {
	if e.start == 0 && len(e.buf) >= maxEventBytes {
		return errors.WithStack(&EventSizeError{})
	}
	buf := e.buf
	if e.start == 0 || e.full && len(e.buf) < maxReadBufferBytes {
		buf = make([]byte, 2*len(e.buf))
	}
	e.end = copy(buf, e.buf[e.start:e.end])
	e.scanned -= e.start
	e.start = 0
	e.buf = buf
	return nil
}

// parseEvent parses the fields of an event. Of several data lines, which no engine
// sends, only the last one is kept.
func parseEvent(block []byte) Event {
	var event Event
	for len(block) > 0 {
		line := block
		if n := bytes.IndexByte(block, '\n'); n >= 0 {
			line, block = block[:n], block[n+1:]
		} else {
			block = nil
		}
		if n := len(line); n > 0 && line[n-1] == '\r' {
			line = line[:n-1]
		}
		switch {
		case bytes.HasPrefix(line, dataPrefix):
			event.Data = fieldValue(line, dataPrefix)
		case bytes.HasPrefix(line, idPrefix):
			event.ID = fieldValue(line, idPrefix)
		}
	}
	return event
}

// The prefixes of the parsed fields; other fields are ignored.
var (
	dataPrefix = []byte("data:")
	idPrefix   = []byte("id:")
)

// fieldValue returns the part of the line after the prefix, without one leading
// space.
func fieldValue(line, prefix []byte) []byte {
	value := line[len(prefix):]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return value
}
