package mirror

import (
	"time"

	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// methodRead reads a topic, or its changes, from another VM.
const methodRead peer.Method = "mirror.read"

// readMessage is the request of methodRead.
type readMessage struct {
	Topic provider.Topic `json:"t"`
	// After is the version after which changes are requested; zero requests the whole
	// topic. AfterEpoch is its epoch; VMs that don't know epochs leave it out.
	After      int64  `json:"a,omitempty"`
	AfterEpoch *int64 `json:"ae,omitempty"`
	// Kept is the number of rows of earlier epochs that the requester keeps.
	Kept int `json:"k,omitempty"`
	// WaitMs bounds how long the response is held if there are no changes.
	WaitMs int64 `json:"w,omitempty"`
	// Packed is set if the requester can read packed rows.
	Packed bool `json:"z,omitempty"`
}

// pageMessage is the response of methodRead.
type pageMessage struct {
	Rows []rowMessage `json:"r,omitempty"`
	// Packed are the rows in place of Rows, as packedRow describes.
	Packed  []byte `json:"z,omitempty"`
	Version int64  `json:"v"`
	// Epoch is the epoch of the version and the rows; zero from VMs that don't know
	// epochs.
	Epoch int64 `json:"e,omitempty"`
	// Kept are rows of earlier epochs that the sender prefers to those of the store,
	// for another KeptMs; zero for no limit. They are left out if the requester has
	// as many.
	Kept   []rowMessage `json:"k,omitempty"`
	KeptMs int64        `json:"km,omitempty"`
	// Stale is true if the sender is no fresh source: it does not reach the store, and is
	// no relay that has followed one that does.
	Stale bool `json:"s,omitempty"`
	// AgeMs is how long ago the copy of a sender that is not stale was known to be up to
	// date; zero from senders that reach the store.
	AgeMs int64 `json:"g,omitempty"`
	// RestoredMs is the time since the store was last regained, as recorded by the
	// sender; negative for never.
	RestoredMs int64 `json:"o"`
	// Full is true if the rows are the whole topic.
	Full bool `json:"w,omitempty"`
	// NoCopy is true if the sender has no copy yet.
	NoCopy bool `json:"u,omitempty"`
}

type rowMessage struct {
	Key     string `json:"k"`
	Value   []byte `json:"d,omitempty"`
	Version int64  `json:"v"`
	Removed bool   `json:"x,omitempty"`
	Epoch   int64  `json:"e,omitempty"`
}

func encodePage(p page, full bool) pageMessage {
	m := pageMessage{
		Version: p.Version, Epoch: p.Epoch, KeptMs: p.keepFor.Milliseconds(),
		RestoredMs: p.restored.Milliseconds(), Full: full,
	}
	if p.restored < 0 {
		m.RestoredMs = -1
	}
	for _, r := range p.Rows {
		m.Rows = append(m.Rows, rowMessage(r))
	}
	for _, r := range p.kept {
		m.Kept = append(m.Kept, rowMessage(r))
	}
	return m
}

// page returns the rows and the version of the message.
func (m pageMessage) page() provider.Page {
	p := provider.Page{Version: m.Version, Epoch: m.Epoch}
	for _, r := range m.Rows {
		row := provider.Row(r)
		row.Epoch = m.Epoch
		p.Rows = append(p.Rows, row)
	}
	return p
}

// kept returns the rows of earlier epochs that the sender keeps.
func (m pageMessage) kept() []provider.Row {
	rows := make([]provider.Row, 0, len(m.Kept))
	for _, r := range m.Kept {
		rows = append(rows, provider.Row(r))
	}
	return rows
}

// restored returns the time at which the store was last regained as recorded by the
// sender, by this VM's clock; zero for never.
func (m pageMessage) restored(now time.Time) time.Time {
	if m.RestoredMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.RestoredMs) * time.Millisecond)
}
