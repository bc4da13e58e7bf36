package mirror

import (
	"bytes"
	"compress/flate"
	"encoding/json"
	"fmt"
	"io"
	"sync"

	"github.com/pkg/errors"
)

const (
	// minPackedBytes is the size of the rows' values from which they are packed: smaller
	// pages gain nothing.
	minPackedBytes = 1 << 10
	// maxUnpackedBytes bounds the size of packed rows once they are unpacked.
	maxUnpackedBytes = 64 << 20
)

// packedRow is the head of a packed row. Packed rows are a JSON list of all heads, a line
// feed, and the values one after the other, deflated.
type packedRow struct {
	Key     string `json:"k"`
	Bytes   int    `json:"n,omitempty"`
	Version int64  `json:"v"`
	Removed bool   `json:"x,omitempty"`
	Epoch   int64  `json:"e,omitempty"`
}

// packers are writers that pack. They are kept, as each is large.
var packers = sync.Pool{New: func() any {
	// The level is valid.
	w, _ := flate.NewWriter(nil, flate.BestSpeed)
	return w
}}

// PackedTooLargeError reports packed rows that exceed maxUnpackedBytes.
type PackedTooLargeError struct{ Bytes int }

// Error implements error.
func (e *PackedTooLargeError) Error() string {
	return fmt.Sprintf("packed rows exceed %d bytes", e.Bytes)
}

// PackedLengthError reports packed rows whose values are longer or shorter than their
// heads say.
type PackedLengthError struct{ Bytes, Want int }

// Error implements error.
func (e *PackedLengthError) Error() string {
	return fmt.Sprintf("packed values have %d bytes, not %d", e.Bytes, e.Want)
}

// pack replaces the rows of a page by packed ones if they are large. They stay if they
// can't be packed.
func (m *pageMessage) pack() {
	size := 0
	for _, r := range m.Rows {
		size += len(r.Value)
	}
	if size < minPackedBytes {
		return
	}
	var b bytes.Buffer
	w, ok := packers.Get().(*flate.Writer)
	if !ok {
		return
	}
	defer packers.Put(w)
	w.Reset(&b)
	if writePacked(w, m.Rows) == nil {
		m.Packed, m.Rows = b.Bytes(), nil
	}
}

func writePacked(w *flate.Writer, rows []rowMessage) error {
	heads := make([]packedRow, 0, len(rows))
	for _, r := range rows {
		heads = append(heads, packedRow{r.Key, len(r.Value), r.Version, r.Removed, r.Epoch})
	}
	// The encoder ends the list with a line feed.
	if err := json.NewEncoder(w).Encode(heads); err != nil {
		return errors.WithStack(err)
	}
	for _, r := range rows {
		if _, err := w.Write(r.Value); err != nil {
			return errors.WithStack(err)
		}
	}
	return errors.WithStack(w.Close())
}

// unpack replaces packed rows by the rows. It returns a PackedTooLargeError, a
// PackedLengthError, or the decoder's error for rows that can't be read.
func (m *pageMessage) unpack() error {
	if len(m.Packed) == 0 {
		return nil
	}
	unpacked, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(m.Packed)), maxUnpackedBytes+1))
	if len(unpacked) > maxUnpackedBytes {
		return errors.WithStack(&PackedTooLargeError{maxUnpackedBytes})
	}
	if err != nil {
		return errors.WithStack(err)
	}
	list, values, _ := bytes.Cut(unpacked, []byte("\n"))
	var heads []packedRow
	if err := json.Unmarshal(list, &heads); err != nil {
		return errors.WithStack(err)
	}
	rows, err := joinPacked(heads, values)
	if err != nil {
		return err
	}
	m.Packed, m.Rows = nil, rows
	return nil
}

func joinPacked(heads []packedRow, values []byte) ([]rowMessage, error) {
	want := 0
	for _, h := range heads {
		if h.Bytes < 0 || h.Bytes > len(values) {
			return nil, errors.WithStack(&PackedLengthError{len(values), h.Bytes})
		}
		want += h.Bytes
	}
	if want != len(values) {
		return nil, errors.WithStack(&PackedLengthError{len(values), want})
	}
	rows := make([]rowMessage, 0, len(heads))
	for _, h := range heads {
		row := rowMessage{Key: h.Key, Version: h.Version, Removed: h.Removed, Epoch: h.Epoch}
		if h.Bytes > 0 {
			row.Value, values = values[:h.Bytes:h.Bytes], values[h.Bytes:]
		}
		rows = append(rows, row)
	}
	return rows, nil
}
