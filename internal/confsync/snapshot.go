package confsync

import (
	"slices"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// Snapshot is one version of the configuration. It is immutable; a request uses
// the snapshot with which it was admitted until it ends.
type Snapshot struct {
	Version int64
	*configuration.Document
}

// maxSteps is the number of patches that a VM retains for peers that are a few
// versions behind.
const maxSteps = 64

// step is the RFC 7386 patch from one version to a later one.
type step struct {
	From  int64  `json:"from"`
	To    int64  `json:"to"`
	Patch []byte `json:"patch"`
}

// held is the encoded document in force, with the latest patches that led to it.
type held struct {
	version  int64
	document []byte
	digest   string
	steps    []step
}

// next returns the state after a newer document was loaded. The patches are
// dropped if the latest one can't be computed or is not smaller than the
// document.
func (h held) next(version int64, document []byte) held {
	n := held{version: version, document: document, digest: calls.Digest(document)}
	if h.version == 0 {
		return n
	}
	patch, err := configuration.Diff(h.document, document)
	if err != nil || len(patch) >= len(document) {
		return n
	}
	n.steps = append(slices.Clone(h.steps), step{h.version, version, patch})
	if extra := len(n.steps) - maxSteps; extra > 0 {
		n.steps = n.steps[extra:]
	}
	return n
}

// transfer returns the response for a peer at version have: the patches from that
// version on if they are retained, otherwise the whole document.
func (h held) transfer(have int64) transfer {
	t := transfer{Version: h.version, Digest: h.digest}
	if h.version <= have {
		return t
	}
	for i, s := range h.steps {
		if s.From == have {
			t.Steps = h.steps[i:]
			return t
		}
	}
	t.Document = h.document
	return t
}

// apply returns the document that results from the transfer. It fails if the
// patches do not follow on from the held version or the digest differs.
func (h held) apply(t transfer) ([]byte, error) {
	document := t.Document
	if len(t.Steps) > 0 {
		document = h.document
	}
	at := h.version
	for _, s := range t.Steps {
		if s.From != at {
			return nil, &TransferError{"patches are not consecutive"}
		}
		var err error
		if document, err = configuration.Patch(document, s.Patch); err != nil {
			return nil, err
		}
		at = s.To
	}
	if calls.Digest(document) != t.Digest {
		return nil, &TransferError{"document does not match its digest"}
	}
	return document, nil
}
