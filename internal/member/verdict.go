package member

import (
	"time"

	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// AnnounceVerdict tells the other VMs of a verdict, by a note.
func (s *Service) AnnounceVerdict(v quarantine.Verdict) {
	note, err := quarantine.EncodeNote(v)
	if err != nil || !s.SetNote(note) {
		s.log.Emit(event.VerdictNotShared{
			Service: v.Service, Part: v.Subject.Part, Digest: v.Subject.Digest, Verdict: v.Count,
		})
	}
}

// RetainVerdicts drops the notes of verdicts that ended a while ago.
func (s *Service) RetainVerdicts() {
	s.RetainNotes(func(n membership.Note) bool { return quarantine.KeepNote(time.Now(), n) })
}

// ReadVerdict returns the verdict of a note. It logs a note that can't be decoded, and returns
// false.
func ReadVerdict(n membership.Note, log *event.Logger) (quarantine.Verdict, bool) {
	v, err := quarantine.DecodeNote(n)
	if err != nil {
		log.Emit(event.VerdictUnreadable{Note: n.Key, Reason: err.Error()})
	}
	return v, err == nil
}
