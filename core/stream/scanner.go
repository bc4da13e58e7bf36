package stream

import (
	"bytes"
	"iter"
)

// lineEnds are the bytes that end a line of an event stream: LF, CR or both.
const lineEnds = "\r\n"

// Scanner finds the ends of server-sent events in a stream that arrives in pieces. A
// blank line ends an event. The zero value is at the beginning of a stream.
type Scanner struct {
	// inLine is set when the current line is not empty.
	inLine bool
	// inEvent is set when the current event has a field, or a part of one.
	inEvent bool
	// ended is set once an event has ended.
	ended bool
	// afterCR is set when the last byte was a CR. An LF that follows belongs to the
	// same line end.
	afterCR bool
	// endedByCR is set when that CR ended an event.
	endedByCR bool
}

// Scan continues with the next piece of the stream. It returns the number of bytes of
// the piece up to the end of the last event that ends in it, or zero if none does.
func (s *Scanner) Scan(piece []byte) int {
	end := 0
	for i := 0; i < len(piece); {
		if s.afterCR && piece[i] == '\n' {
			i++
			s.afterCR = false
			if s.endedByCR {
				end = i
			}
			continue
		}
		s.afterCR = false
		n := bytes.IndexAny(piece[i:], lineEnds)
		if n != 0 {
			s.text(piece[i])
		}
		if n < 0 {
			break
		}
		i += n + 1
		blank := s.endLine()
		if blank {
			end = i
		}
		s.afterCR, s.endedByCR = piece[i-1] == '\r', blank
	}
	return end
}

// text handles a part of a line that begins with the byte.
func (s *Scanner) text(first byte) {
	comment := !s.inLine && first == ':'
	s.inEvent = s.inEvent || !s.inLine && !comment
	s.inLine = true
}

// endLine ends the current line, and the current event if the line is blank. It reports
// whether it is.
func (s *Scanner) endLine() bool {
	blank := !s.inLine
	s.inLine = false
	if blank {
		s.ended = s.ended || s.inEvent
		s.inEvent = false
	}
	return blank
}

// InEvent reports whether an event has begun and not ended. Comments and blank lines
// begin none.
func (s *Scanner) InEvent() bool { return s.inEvent }

// Ended reports whether an event has ended.
func (s *Scanner) Ended() bool { return s.ended }

// Lines returns the lines of events that are not blank, without their ends.
func Lines(events []byte) iter.Seq[[]byte] {
	return bytes.FieldsFuncSeq(events, func(r rune) bool { return r == '\r' || r == '\n' })
}
