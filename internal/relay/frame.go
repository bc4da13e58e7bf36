package relay

import (
	"bufio"
	"encoding/binary"
	"io"
	"strconv"

	"github.com/pkg/errors"
)

// frameType is the type of a frame. Its values are part of the protocol between VMs.
type frameType byte

// Frames from the client to the server are frameData and frameObserved; from the server to the
// client all but frameObserved. The end of the connection without frameEnd is a loss.
const (
	// frameData has bytes of the request or of the response.
	frameData frameType = 1
	// frameEnd means that the endpoint has ended its connection regularly. Its payload is the number
	// of bytes of the request that had been written to it by then, of countBytes; earlier builds
	// send none, and ignore it.
	frameEnd frameType = 2
	// frameNotSent means that no byte of the request was sent to the endpoint, and none will
	// be.
	frameNotSent frameType = 3
	// frameBroken means that the connection to the endpoint broke.
	frameBroken frameType = 4
	// frameObserved has what the response says of its endpoint.
	frameObserved frameType = 5
)

const (
	// headerBytes is the length of a frame's header: the type, and the length of the payload
	// as a big-endian integer.
	headerBytes = 5
	// maxPayload bounds the payload of a frame, in bytes.
	maxPayload = 64 << 10
	// countBytes is the length of a number of bytes in a payload, a big-endian integer.
	countBytes = 8
)

// FrameError reports a frame that the protocol doesn't allow.
type FrameError struct {
	Type   byte
	Length uint32
}

// Error implements error.
func (e *FrameError) Error() string {
	return "unexpected frame of type " + strconv.Itoa(int(e.Type)) + " and length " + strconv.FormatUint(uint64(e.Length), 10)
}

// writeFrame writes one frame by a single call, as a connection without Nagle's algorithm
// sends each in a packet.
func writeFrame(w io.Writer, t frameType, payload []byte) error {
	b := make([]byte, headerBytes, headerBytes+len(payload))
	b[0] = byte(t)
	binary.BigEndian.PutUint32(b[1:], uint32(len(payload)))
	_, err := w.Write(append(b, payload...))
	return errors.WithStack(err)
}

// writeData writes bytes as frames of data.
func writeData(w io.Writer, data []byte) error {
	for len(data) > 0 {
		n := min(len(data), maxPayload)
		if err := writeFrame(w, frameData, data[:n]); err != nil {
			return err
		}
		data = data[n:]
	}
	return nil
}

// readHeader reads the header of a frame. The error is io.EOF where the connection ended before
// it.
func readHeader(r *bufio.Reader) (frameType, int, error) {
	var b [headerBytes]byte
	if _, err := io.ReadFull(r, b[:]); err != nil {
		return 0, 0, errors.WithStack(err)
	}
	n := binary.BigEndian.Uint32(b[1:])
	if n > maxPayload {
		return 0, 0, errors.WithStack(&FrameError{b[0], n})
	}
	return frameType(b[0]), int(n), nil
}
