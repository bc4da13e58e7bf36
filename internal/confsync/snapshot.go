package confsync

import (
	"slices"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
)

// Snapshot is one version of the configuration. It is not changed; a request
// keeps the one that it was admitted under.
type Snapshot struct {
	Version int64
	*configuration.Document
}

// maxSteps is the number of changes that a VM keeps for peers that are a few
// versions behind.
const maxSteps = 64

// step is the RFC 7386 patch from one version to a later one.
type step struct {
	From  int64  `json:"from"`
	To    int64  `json:"to"`
	Patch []byte `json:"patch"`
}

// held is the document in force, as bytes, and how it came about.
type held struct {
	version  int64
	document []byte
	digest   string
	steps    []step
}

// next returns what is held after the newer document.
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

// transfer is what one that holds version have needs: the patches from there
// on, or else the whole document.
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

// apply returns the document that the transfer makes of what is held.
func (h held) apply(t transfer) ([]byte, error) {
	document := t.Document
	if len(t.Steps) > 0 {
		document = h.document
	}
	at := h.version
	for _, s := range t.Steps {
		if s.From != at {
			return nil, &TransferError{"the steps do not follow each other"}
		}
		var err error
		if document, err = configuration.Patch(document, s.Patch); err != nil {
			return nil, err
		}
		at = s.To
	}
	if calls.Digest(document) != t.Digest {
		return nil, &TransferError{"the digest differs"}
	}
	return document, nil
}
