package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	// macBytes is the length of a message authentication code, a truncated
	// HMAC-SHA256.
	macBytes = 16
	// writeTimeout bounds one write, for peers that have stopped reading.
	writeTimeout = 5 * time.Second
)

// stream is a jsonrpc2.ObjectStream of authenticated messages. sent and received
// are the sequence numbers of the next message in each direction.
type stream struct {
	conn     net.Conn
	r        *bufio.Reader
	session  session
	maxBytes int
	counters *Counters
	meter    *meter
	reject   func(Reason)

	mu       sync.Mutex
	sent     uint64
	received uint64
}

// WriteObject implements jsonrpc2.ObjectStream.
func (s *stream) WriteObject(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	if len(data)+macBytes > s.maxBytes {
		s.reject(ReasonOversize)
		return errors.WithStack(&RejectedError{ReasonOversize})
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	code := messageMAC(s.session.sendKey, s.sent, data)
	s.sent++
	frame := appendFrame(make([]byte, 0, headerBytes+len(data)+macBytes), append(data, code...))
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return errors.WithStack(err)
	}
	n, err := s.conn.Write(frame)
	s.counters.sent(n)
	s.meter.written(n)
	if err != nil {
		// The other end may have received a part of the frame, so that no
		// further frame can follow on this connection.
		_ = s.conn.Close()
	}
	return errors.WithStack(err)
}

// ReadObject implements jsonrpc2.ObjectStream. The JSON-RPC library reads nothing
// more from the connection after an error.
func (s *stream) ReadObject(v any) error {
	frame, err := readFrame(s.r, s.maxBytes)
	if err != nil {
		return s.reportRejection(err)
	}
	s.counters.received(headerBytes + len(frame))
	s.meter.read = headerBytes + len(frame)
	if len(frame) < macBytes {
		return s.reportRejection(errors.WithStack(&RejectedError{ReasonMalformed}))
	}
	data, code := frame[:len(frame)-macBytes], frame[len(frame)-macBytes:]
	if !hmac.Equal(code, messageMAC(s.session.receiveKey, s.received, data)) {
		return s.reportRejection(errors.WithStack(&RejectedError{ReasonBadMAC}))
	}
	s.received++
	if json.Unmarshal(data, v) != nil {
		return s.reportRejection(errors.WithStack(&RejectedError{ReasonMalformed}))
	}
	return nil
}

// reportRejection calls reject if err is a RejectedError, and returns err.
func (s *stream) reportRejection(err error) error {
	var r *RejectedError
	if errors.As(err, &r) {
		s.reject(r.Reason)
	}
	return err
}

// Close implements jsonrpc2.ObjectStream.
func (s *stream) Close() error { return s.conn.Close() }

// messageMAC returns the authentication code of the message with the given
// sequence number.
func messageMAC(key []byte, sequence uint64, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write(binary.BigEndian.AppendUint64(nil, sequence))
	h.Write(data)
	return h.Sum(nil)[:macBytes]
}
