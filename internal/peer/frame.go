package peer

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/pkg/errors"
)

// headerBytes is the length of a frame's header, which holds the payload's length
// in bytes as a big-endian integer.
const headerBytes = 4

// readFrame reads one frame and returns its payload, or a RejectedError if the
// payload is longer than limit bytes. The buffer grows with the bytes received
// rather than being allocated for the announced length.
func readFrame(r *bufio.Reader, limit int) ([]byte, error) {
	var header [headerBytes]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, errors.WithStack(err)
	}
	size := binary.BigEndian.Uint32(header[:])
	if uint64(size) > uint64(limit) {
		return nil, errors.WithStack(&RejectedError{ReasonOversize})
	}
	payload, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if len(payload) < int(size) {
		return nil, errors.WithStack(io.ErrUnexpectedEOF)
	}
	return payload, nil
}

// appendFrame appends a frame with the payload to dst.
func appendFrame(dst, payload []byte) []byte {
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(payload)))
	return append(dst, payload...)
}
