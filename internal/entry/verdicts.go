package entry

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

const (
	// verdictPrefix begins the keys of the notes with verdicts on parts of prompts.
	verdictPrefix = "part/"
	// verdictRetention is the time after the end of a verdict for which its note is kept.
	verdictRetention = time.Hour
)

// verdictNote is the value of a note with a verdict on a part of prompts.
type verdictNote struct {
	Service  string `json:"s"`
	Part     string `json:"p"`
	Withheld bool   `json:"w,omitempty"`
	Strikes  int    `json:"k,omitempty"`
	// Until is the end of the verdict in Unix milliseconds.
	Until int64 `json:"u"`
}

// note returns the note by which VMs tell each other of a verdict.
func note(v quarantine.Verdict) (membership.Note, error) {
	value, err := json.Marshal(verdictNote{v.Service, v.Part, v.Withheld, v.Strikes, v.Until.UnixMilli()})
	return membership.Note{Key: verdictPrefix + v.Service + "/" + v.Part, Version: int64(v.Count), Value: value}, errors.WithStack(err)
}

// notedVerdict is the inverse of note.
func notedVerdict(n membership.Note) (quarantine.Verdict, error) {
	var doc verdictNote
	err := json.Unmarshal(n.Value, &doc)
	return quarantine.Verdict{
		Service: doc.Service, Part: doc.Part, Count: int(n.Version),
		Withheld: doc.Withheld, Strikes: doc.Strikes, Until: time.UnixMilli(doc.Until),
	}, errors.WithStack(err)
}

// announceVerdict tells the other VMs of a verdict.
func (v *VM) announceVerdict(verdict quarantine.Verdict) {
	if !v.hasJoined() {
		return
	}
	n, err := note(verdict)
	if err != nil || !v.members.service.SetNote(n) {
		v.log.Emit(event.VerdictNotShared{Service: verdict.Service, Part: verdict.Part, Verdict: verdict.Count})
	}
}

// dropVerdicts drops the notes of verdicts that ended a while ago.
func (v *VM) dropVerdicts() {
	v.members.service.RetainNotes(func(n membership.Note) bool {
		verdict, err := notedVerdict(n)
		return !strings.HasPrefix(n.Key, verdictPrefix) || err == nil && time.Since(verdict.Until) < verdictRetention
	})
}
