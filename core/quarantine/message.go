package quarantine

import "time"

// Bounds of what is believed of a message. A prompt of the platforms that are served has no more
// parts, nor longer IDs of them.
const (
	maxSuspects = 256
	maxParts    = 64
	maxIDBytes  = 128
	maxAge      = 24 * time.Hour
)

// CrashMessage is a crash as VMs tell each other of it. Ages are in microseconds, since the
// VMs' clocks differ.
type CrashMessage struct {
	Endpoint string `json:"e"`
	// Age is the time since the crash.
	Age      int64            `json:"a"`
	Suspects []suspectMessage `json:"s"`
	// ClearedParts and ClearedDigests are the subjects that are no suspects any more. Earlier
	// builds neither send nor know them, so that a late report of theirs may bring them back.
	ClearedParts   []string `json:"p,omitempty"`
	ClearedDigests []string `json:"d,omitempty"`
}

// suspectMessage is a request that may have caused a crash. A request to a plain service has
// only a digest, which earlier builds ignore.
type suspectMessage struct {
	Request  string   `json:"r"`
	Parts    []string `json:"p"`
	Digest   string   `json:"d,omitempty"`
	Answered bool     `json:"w,omitempty"`
	Began    bool     `json:"b,omitempty"`
	// Age is the time since the request was placed.
	Age int64 `json:"a,omitempty"`
}

// EncodeCrash returns the message of a crash.
func EncodeCrash(now time.Time, c Crash) CrashMessage {
	m := CrashMessage{Endpoint: c.Endpoint, Age: now.Sub(c.At).Microseconds()}
	for _, s := range c.Suspects {
		m.Suspects = append(m.Suspects, suspectMessage{s.Request, s.Parts, s.Digest, s.Answered, s.Began, now.Sub(s.PlacedAt).Microseconds()})
	}
	for _, s := range c.Cleared {
		if s.Digest != "" {
			m.ClearedDigests = append(m.ClearedDigests, s.Digest)
		} else {
			m.ClearedParts = append(m.ClearedParts, s.Part)
		}
	}
	return m
}

// Crash is the inverse of EncodeCrash, at the VM that receives the message. What exceeds the
// bounds is left out.
func (m CrashMessage) Crash(now time.Time) Crash {
	c := Crash{Endpoint: m.Endpoint, At: ago(now, m.Age)}
	for _, s := range m.Suspects[:min(len(m.Suspects), maxSuspects)] {
		if len(s.Request) > maxIDBytes || len(s.Digest) > maxIDBytes {
			continue
		}
		c.Suspects = append(c.Suspects, Suspect{
			Request: s.Request, Parts: validIDs(s.Parts, maxParts), Digest: s.Digest, Answered: s.Answered, Began: s.Began, PlacedAt: ago(now, s.Age),
		})
	}
	for _, id := range validIDs(m.ClearedParts, maxSuspects) {
		c.Cleared = append(c.Cleared, Subject{Part: id})
	}
	for _, id := range validIDs(m.ClearedDigests, maxSuspects) {
		c.Cleared = append(c.Cleared, Subject{Digest: id})
	}
	return c
}

// validIDs returns the first IDs of a list, without those that are empty or too long.
func validIDs(list []string, most int) []string {
	ids := make([]string, 0, min(len(list), most))
	for _, id := range list[:min(len(list), most)] {
		if id != "" && len(id) <= maxIDBytes {
			ids = append(ids, id)
		}
	}
	return ids
}

// ago returns the time an age ago, in microseconds, of which at most maxAge is believed.
func ago(now time.Time, age int64) time.Time {
	return now.Add(-time.Duration(max(0, min(age, maxAge.Microseconds()))) * time.Microsecond)
}
