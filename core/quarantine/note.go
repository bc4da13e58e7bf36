package quarantine

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/membership"
)

const (
	// partPrefix and requestPrefix begin the keys of the notes with verdicts on parts of
	// prompts and on requests.
	partPrefix    = "part/"
	requestPrefix = "request/"
	// noteRetention is the time after the end of a verdict for which its note is kept.
	noteRetention = time.Hour
)

// noteValue is the value of a note with a verdict.
type noteValue struct {
	Service  string `json:"s"`
	Part     string `json:"p,omitempty"`
	Digest   string `json:"d,omitempty"`
	Withheld bool   `json:"w,omitempty"`
	Strikes  int    `json:"k,omitempty"`
	// Until is the end of the verdict in Unix milliseconds.
	Until int64 `json:"u"`
}

// EncodeNote returns the note by which VMs tell each other of a verdict.
func EncodeNote(v Verdict) (membership.Note, error) {
	value, err := json.Marshal(noteValue{v.Service, v.Subject.Part, v.Subject.Digest, v.Withheld, v.Strikes, v.Until.UnixMilli()})
	key := partPrefix + v.Service + "/" + v.Subject.Part
	if v.Subject.Digest != "" {
		key = requestPrefix + v.Service + "/" + v.Subject.Digest
	}
	return membership.Note{Key: key, Version: int64(v.Count), Value: value}, errors.WithStack(err)
}

// DecodeNote is the inverse of EncodeNote.
func DecodeNote(n membership.Note) (Verdict, error) {
	var doc noteValue
	err := json.Unmarshal(n.Value, &doc)
	return Verdict{
		Service: doc.Service, Subject: Subject{Part: doc.Part, Digest: doc.Digest}, Count: int(n.Version),
		Withheld: doc.Withheld, Strikes: doc.Strikes, Until: time.UnixMilli(doc.Until),
	}, errors.WithStack(err)
}

// KeepNote reports whether a note is kept: all notes but those with verdicts that ended a
// while ago, or can't be decoded.
func KeepNote(now time.Time, n membership.Note) bool {
	if !strings.HasPrefix(n.Key, partPrefix) && !strings.HasPrefix(n.Key, requestPrefix) {
		return true
	}
	v, err := DecodeNote(n)
	return err == nil && now.Sub(v.Until) < noteRetention
}
