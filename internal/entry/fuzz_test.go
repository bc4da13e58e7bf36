package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/membership"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
)

type discardSink struct{}

func (discardSink) SetEndpoints([]dispatch.Endpoint) {}

func (discardSink) SetServices([]dispatch.Service) {}

// FuzzRows applies whatever rows the store may hold to the registry and the tables.
func FuzzRows(f *testing.F) {
	f.Add("i-1", []byte(`{"service":"s","address":"10.0.0.5:80","zone":"z","slots":16,"state":"ready","born":17}`), []byte(`{"service":"s","address":"10.0.0.5:80","zone":"z","slots":16,"state":"draining","born":17}`), false)
	f.Add("config", []byte(`{"version":1,"routes":[{}],"services":[{"engine":{}}]}`), []byte(`{"version":-1}`), true)
	f.Fuzz(func(t *testing.T, key string, first, second []byte, removed bool) {
		log, err := event.New(io.Discard, "json", "info", "vm")
		require.NoError(t, err)
		r := newRegistry(platform.Documents{}, log, discardSink{}, 0, func(directory.Incarnation) {})
		defer r.stop()
		tb := newTables(platform.Documents{}, log, discardSink{}, r.setEvacuated)
		rows := []provider.Row{{Key: key, Value: first, Version: 1}, {Key: key, Value: second, Version: 2, Removed: removed}}
		r.Changed(rows)
		tb.Changed(rows)
		_ = r.Supersedes(rows[0], rows[1], false)
		_ = tb.Supersedes(rows[0], rows[1], true)
		r.Observed(directory.Incarnation{ID: key}, platform.Headers{}.DecodeResponse(http.StatusOK, http.Header{"Server-Leaving": {"1"}}))
		_, _ = r.Lookup(key)
	})
}

// FuzzDigest decodes the digest and the marks of another VM.
func FuzzDigest(f *testing.F) {
	f.Add([]byte(`{"c":1,"e":2,"ce":3,"ee":4,"ck":-1,"ek":1}`), "i-1", "17")
	f.Add([]byte(`{"c":"x"}`), "", "x")
	f.Fuzz(func(t *testing.T, b []byte, endpoint, incarnation string) {
		log, err := event.New(io.Discard, "json", "info", "vm")
		require.NoError(t, err)
		var d digest
		_ = json.Unmarshal(b, &d)
		r := newRegistry(platform.Documents{}, log, discardSink{}, 0, func(directory.Incarnation) {})
		defer r.stop()
		v := &VM{log: log, joined: make(chan struct{}), components: components{Registry: r}}
		o := &observer{vm: v}
		o.PeerDigest("b", b)
		o.EndpointMarked(membership.Mark{Endpoint: endpoint, Incarnation: incarnation})
	})
}

// FuzzVerdictNote decodes and applies the verdict of another VM.
func FuzzVerdictNote(f *testing.F) {
	f.Add([]byte(`{"s":"s","p":"p","w":true,"k":1,"u":1800000000000}`), int64(1))
	f.Add([]byte(`{"s":"s","p":"p","w":true,"k":-1,"u":9223372036854775807}`), int64(-1))
	f.Add([]byte(`[]`), int64(0))
	f.Fuzz(func(t *testing.T, value []byte, version int64) {
		v, err := quarantine.DecodeNote(membership.Note{Key: "k", Version: version, Value: value})
		if err != nil {
			return
		}
		now := time.Unix(1_800_000_000, 0)
		cfg := quarantine.DefaultConfig()
		l := quarantine.NewList(cfg)
		l.Apply(now, v)
		subject, _ := l.Withheld(now.Add(cfg.MaxPeriod), v.Service, v.Subject.Digest, []string{v.Subject.Part})
		require.Empty(t, subject, "each verdict ends")
		l.Decide(now, quarantine.Finding{Service: v.Service, Subject: v.Subject})
	})
}
