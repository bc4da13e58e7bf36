package mirror

import (
	"time"

	"cornelsaddle.example/cornelsaddle/internal/peer"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// methodRead asks a VM for a topic.
const methodRead peer.Method = "mirror.read"

// readMessage asks for the changes of a topic.
type readMessage struct {
	Topic provider.Topic `json:"t"`
	// After is the version from which to follow; zero asks for all.
	After int64 `json:"a,omitempty"`
	// WaitMs bounds how long the answer is held.
	WaitMs int64 `json:"w,omitempty"`
}

// pageMessage is a VM's answer.
type pageMessage struct {
	Rows    []rowMessage `json:"r,omitempty"`
	Version int64        `json:"v"`
	Stale   bool         `json:"s,omitempty"`
	// RestoredMs is how long ago the store was regained; negative for never.
	RestoredMs int64 `json:"o"`
	// Whole says that the rows are the whole topic.
	Whole bool `json:"w,omitempty"`
	// Unknown says that the VM has no copy yet.
	Unknown bool `json:"u,omitempty"`
}

type rowMessage struct {
	Key     string `json:"k"`
	Value   []byte `json:"d,omitempty"`
	Version int64  `json:"v"`
	Removed bool   `json:"x,omitempty"`
}

func encodePage(p page, whole bool) pageMessage {
	m := pageMessage{Version: p.Version, RestoredMs: p.restored.Milliseconds(), Whole: whole}
	if p.restored < 0 {
		m.RestoredMs = -1
	}
	for _, r := range p.Rows {
		m.Rows = append(m.Rows, rowMessage(r))
	}
	return m
}

// page is the message's content, without what the sender says of the store.
func (m pageMessage) page() provider.Page {
	p := provider.Page{Version: m.Version}
	for _, r := range m.Rows {
		p.Rows = append(p.Rows, provider.Row(r))
	}
	return p
}

// restored is when the sender regained the store, by this VM's clock.
func (m pageMessage) restored(now time.Time) time.Time {
	if m.RestoredMs < 0 {
		return time.Time{}
	}
	return now.Add(-time.Duration(m.RestoredMs) * time.Millisecond)
}
