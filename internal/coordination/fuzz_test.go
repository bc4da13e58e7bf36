package coordination

import (
	"encoding/json"
	"testing"
	"time"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/engine"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
)

// FuzzMessages hands whatever another VM may send to a dispatcher with an engine and a
// plain service.
func FuzzMessages(f *testing.F) {
	f.Add([]byte(`{"id":"1","s":"s","a":10,"d":1000,"e":5000000,"f":2000,"n":5000,"w":400,"v":["e0"],"x":["e1"]}`), []byte(`{"r":{"s":"s","t":1},"n":[{"j":"1","b":true},{"j":"1","f":true,"o":9,"l":"x"}],"h":[{"o":"large","w":9000000000000000000},{"w":-5}]}`))
	f.Add([]byte(`{"id":"","s":"p","a":-9000000000000000000,"e":-9000000000000000000,"n":-5,"w":-5}`), []byte(`{"n":[{"j":"2","a":{"j":{"id":"2","s":"s","n":900000},"p":{"j":"3","e":"e0","h":["e0","e1","e1"],"m":[1,-2,3,4]}}}]}`))
	f.Add([]byte(`{"id":"1","s":"s","a":9000000000000000000,"e":9000000000000000000,"n":9000000000000000000,"w":9000000000000000000}`), []byte(`{"n":[{"j":"1","a":{"p":{}}},{}]}`))
	f.Add([]byte(`{"id":"1","s":"p","r":"r","m":"POST","z":-5,"e":9000000}`), []byte(`{"r":{"s":"p","t":1},"w":{"k":[{"r":"r","l":3,"t":60000,"d":-1,"n":9}],"p":[{"e":"p0","f":1e300,"n":4},{"e":"p0","f":5,"n":4}]},"n":[{"j":"1","a":{"j":{"id":"1","s":"p"},"p":{"j":"1","e":"p0","x":5,"n":1},"a":-9000000000000000000}},{"j":"1","f":true}]}`))
	f.Fuzz(func(_ *testing.T, job, update []byte) {
		cfg := dispatch.DefaultConfig()
		cfg.LearnCosts = len(job)%2 == 0
		cfg.FairShares = true
		l := NewLocalDispatcher(cfg, quarantine.DefaultConfig())
		defer l.pollTimer.Stop()
		l.onDecisions = func([]dispatch.Decision) {}
		l.SetServices([]dispatch.Service{{Name: "p"}, {Name: "s", Engine: &engine.CostModel{
			Slots: 16, MemoryTokens: 450000, Stride: 46, ChunkTokens: 2048, StepMs: 0.9, PrefillTokensPerMs: 256, PairsPerMillionMs: 0.09,
		}}})
		l.SetEndpoints([]dispatch.Endpoint{{ID: "e0", Service: "s", Slots: 16}, {ID: "e1", Service: "s", Slots: 16}, {ID: "p0", Service: "p", Slots: 1}})
		var m jobMessage
		if json.Unmarshal(job, &m) == nil {
			_ = l.submitRemote(m, "a").decision()
		}
		var u updateMessage
		if json.Unmarshal(update, &u) != nil {
			return
		}
		if u.Reset != nil {
			l.dropTerms("a", *u.Reset)
			l.addCrashes(u.Reset.Service, u.Crashes, u.ageBase(time.Now()))
			l.addCosts(u.Reset.Service, "a", u.Costs)
			l.addShares(u.Reset.Service, "a", u.Shares)
		}
		for _, one := range u.Updates {
			l.applyUpdate("a", one)
		}
		l.dropJobs("a")
	})
}
