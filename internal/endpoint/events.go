package endpoint

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
)

const (
	// firstEventBytes is the buffer that a stream starts with.
	firstEventBytes = 4 << 10
	// maxReadBytes is the buffer of a stream that fills a smaller one at once.
	maxReadBytes = 32 << 10
	// maxEventBytes is the longest event of a stream.
	maxEventBytes = 1 << 20
)

// Event is one server-sent event. Its slices are valid until the next read.
type Event struct {
	ID   []byte
	Data []byte
}

// EventSizeError says that an event is longer than a stream may carry.
type EventSizeError struct{}

// Error implements error.
func (*EventSizeError) Error() string { return "endpoint: an event of the stream is too long" }

// eventReader splits a body into server-sent events, in place.
type eventReader struct {
	r    io.Reader
	buf  []byte
	from int
	to   int
	// scanned is how far the search for the event's end has come.
	scanned int
	// full says that the last read filled the buffer.
	full bool
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: r, buf: make([]byte, firstEventBytes)}
}

// buffered reports whether next returns an event without reading.
func (e *eventReader) buffered() bool { return e.end() >= 0 }

// next returns the next event with data. It returns io.EOF where the body ends;
// an unfinished event before that is lost.
func (e *eventReader) next() (Event, error) {
	for {
		end := e.end()
		if end < 0 {
			if err := e.fill(); err != nil {
				return Event{}, err
			}
			continue
		}
		event := parseEvent(e.buf[e.from:end])
		e.from, e.scanned = end, end
		if event.Data != nil {
			return event, nil
		}
	}
}

// end is where the first whole event ends: after its blank line; -1 for none.
func (e *eventReader) end() int {
	for i := e.scanned; i < e.to; {
		n := bytes.IndexByte(e.buf[i:e.to], '\n')
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

// fill reads more into the buffer, which it shifts or grows when it is full.
func (e *eventReader) fill() error {
	if e.from == e.to {
		e.empty()
	}
	if e.to == len(e.buf) {
		if err := e.makeRoom(); err != nil {
			return err
		}
	}
	n, err := e.r.Read(e.buf[e.to:])
	e.to += n
	e.full = e.to == len(e.buf)
	if n > 0 {
		return nil
	}
	if err == nil {
		err = io.ErrNoProgress
	}
	return err
}

// empty starts the buffer anew, a larger one where reads fill it.
func (e *eventReader) empty() {
	e.from, e.to, e.scanned = 0, 0, 0
	if e.full && len(e.buf) < maxReadBytes {
		e.buf = make([]byte, 2*len(e.buf))
	}
}

func (e *eventReader) makeRoom() error {
	if e.from == 0 && len(e.buf) >= maxEventBytes {
		return errors.WithStack(&EventSizeError{})
	}
	buf := e.buf
	if e.from == 0 || e.full && len(e.buf) < maxReadBytes {
		buf = make([]byte, 2*len(e.buf))
	}
	e.to = copy(buf, e.buf[e.from:e.to])
	e.scanned -= e.from
	e.from = 0
	e.buf = buf
	return nil
}

// parseEvent reads the fields of an event. Data over several lines, which no
// engine sends, keeps the last one.
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
		case bytes.HasPrefix(line, dataField):
			event.Data = field(line, dataField)
		case bytes.HasPrefix(line, idField):
			event.ID = field(line, idField)
		}
	}
	return event
}

// The fields of an event that are read.
var (
	dataField = []byte("data:")
	idField   = []byte("id:")
)

func field(line, name []byte) []byte {
	value := line[len(name):]
	if len(value) > 0 && value[0] == ' ' {
		value = value[1:]
	}
	return value
}
