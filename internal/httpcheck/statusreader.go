package httpcheck

import "strconv"

// statusDigits is the length of a status. Clients take no other one.
const statusDigits = 3

// readState is what a statusReader expects next.
type readState uint8

// The states, in the order of the parts of a response.
const (
	// inVersion is the begin of the status line, up to the first space.
	inVersion readState = iota
	// beforeStatus are the spaces before the status.
	beforeStatus
	inStatus
	// inInterim is the rest of an interim response, up to its blank line.
	inInterim
	// passed is all that follows the status of the response.
	passed
)

// statusReader checks the status of a response as its bytes arrive, and of the interim ones before it.
// fasthttp does not tell a status of 0 from 200. A line that is no status line is left to the client.
type statusReader struct {
	state  readState
	status []byte
	// lineBytes counts the bytes of the current line, without those that end it.
	lineBytes int
}

// reset begins the next response.
func (r *statusReader) reset() { *r = statusReader{status: r.status[:0]} }

// read reads the next bytes. The error is an InvalidStatusError.
func (r *statusReader) read(p []byte) error {
	for _, b := range p {
		switch r.state {
		case inVersion:
			r.readVersion(b)
		case beforeStatus, inStatus:
			if err := r.readStatus(b); err != nil {
				return err
			}
		case inInterim:
			r.readInterim(b)
		case passed:
			return nil
		}
	}
	return nil
}

// readVersion reads a byte of the version. Clients skip blank lines before it.
func (r *statusReader) readVersion(b byte) {
	switch b {
	case ' ':
		r.state = beforeStatus
	case '\r':
	case '\n':
		if r.lineBytes > 0 {
			r.state = passed
		}
	default:
		r.lineBytes++
	}
}

// readStatus reads a byte of the status, of the spaces before it, or the one that ends it.
func (r *statusReader) readStatus(b byte) error {
	switch {
	case b == ' ' && r.state == beforeStatus:
		return nil
	case b != ' ' && b != '\r' && b != '\n' && len(r.status) <= statusDigits:
		r.state = inStatus
		r.status = append(r.status, b)
		return nil
	}
	status, err := strconv.ParseUint(string(r.status), 10, 16)
	if err != nil || len(r.status) != statusDigits {
		r.state = passed
		return nil //nolint:nilerr // the client reports it
	}
	if err := Status(int(status)); err != nil {
		return err
	}
	r.state = passed
	if IsInterim(int(status)) {
		r.state, r.lineBytes = inInterim, len(r.status)
		r.readInterim(b)
	}
	return nil
}

// readInterim reads a byte of an interim response after its status.
func (r *statusReader) readInterim(b byte) {
	switch b {
	case '\r':
	case '\n':
		if r.lineBytes == 0 {
			r.reset()
		}
		r.lineBytes = 0
	default:
		r.lineBytes++
	}
}
