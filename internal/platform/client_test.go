package platform

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/platform"
)

func start(t *testing.T, change func(*Config)) (*platform.Server, *Client) {
	t.Helper()
	s, err := platform.Start(platform.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	t.Cleanup(s.Close)
	cfg := DefaultConfig(s.Addr(), 500*time.Millisecond)
	if change != nil {
		change(&cfg)
	}
	c, err := NewClient(cfg)
	require.NoError(t, err)
	t.Cleanup(c.Close)
	return s, c
}

func insert(value string) wire.Txn {
	return wire.Txn{
		Conditions: []wire.Condition{{Key: "k", Version: wire.AbsentVersion}},
		Puts:       []wire.Put{{Key: "k", Value: []byte(value)}},
	}
}

// TestApplyAfterLostResponses checks that a retry recognises the write of an earlier
// attempt whose response was lost, instead of applying it again.
func TestApplyAfterLostResponses(t *testing.T) {
	s, c := start(t, nil)
	s.SetFaults(wire.PlatformFaults{LoseAnswers: 2})
	result, outcome, err := c.Apply(insert("mine"))
	require.NoError(t, err)
	require.Equal(t, OutcomeApplied, outcome)
	row, err := c.Get("k")
	require.NoError(t, err)
	require.Equal(t, row.Version, result.Version)
	require.EqualValues(t, 1, row.Version, "applied more than once")
}

// TestApplyDetectsAnotherWriter checks that a row of another writer is not taken for
// an own earlier attempt, and that the outcome is unknown if that of an earlier
// attempt is.
func TestApplyDetectsAnotherWriter(t *testing.T) {
	s, c := start(t, nil)
	_, outcome, err := c.Apply(insert("first"))
	require.NoError(t, err)
	require.Equal(t, OutcomeApplied, outcome)

	result, outcome, err := c.Apply(insert("second"))
	require.NoError(t, err)
	require.Equal(t, OutcomeNotApplied, outcome)
	require.Equal(t, "first", string(result.Failed[0].Value))

	s.SetFaults(wire.PlatformFaults{LoseRequests: 1})
	_, outcome, err = c.Apply(insert("third"))
	var superseded *SupersededError
	require.ErrorAs(t, err, &superseded, "an earlier attempt may have been applied and overwritten")
	require.Equal(t, OutcomeUnknown, outcome)
}

// TestUnconditionalWriteIsNotRetried checks that a write without conditions, which a
// retry could apply twice, is not retried after an unknown outcome.
func TestUnconditionalWriteIsNotRetried(t *testing.T) {
	s, c := start(t, nil)
	s.SetFaults(wire.PlatformFaults{LoseAnswers: 1})
	_, outcome, err := c.Apply(wire.Txn{Puts: []wire.Put{{Key: "k", Value: []byte("v")}}})
	require.Error(t, err)
	require.Equal(t, OutcomeUnknown, outcome)
	require.EqualValues(t, 1, s.Counts().Writes)
}

// TestProofsOfNotApplied checks which responses prove that a write was not applied.
func TestProofsOfNotApplied(t *testing.T) {
	cases := map[string]struct {
		answer func(*fasthttp.RequestCtx)
		want   Outcome
	}{
		"header applied: no": {func(ctx *fasthttp.RequestCtx) {
			ctx.Response.Header.Set(wire.HeaderApplied, wire.AppliedNo)
			ctx.SetStatusCode(503)
		}, OutcomeNotApplied},
		"failed condition": {func(ctx *fasthttp.RequestCtx) {
			ctx.SetStatusCode(409)
			ctx.SetBodyString(`{"failed":[{"key":"k","version":4}]}`)
		}, OutcomeNotApplied},
		"bare 503":             {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(503) }, OutcomeUnknown},
		"bare 429":             {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(429) }, OutcomeUnknown},
		"500":                  {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(500) }, OutcomeUnknown},
		"409 without rows":     {func(ctx *fasthttp.RequestCtx) { ctx.SetStatusCode(409); ctx.SetBodyString(`{}`) }, OutcomeUnknown},
		"200 without a result": {func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString(`<html>`) }, OutcomeUnknown},
		"closed connection": {func(ctx *fasthttp.RequestCtx) {
			ctx.HijackSetNoResponse(true)
			ctx.Hijack(func(c net.Conn) { _ = c.Close() })
		}, OutcomeUnknown},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			server := &fasthttp.Server{Handler: tc.answer}
			done := make(chan struct{})
			go func() { defer close(done); _ = server.Serve(l) }()
			c := New(l.Addr().String(), time.Second)
			_, outcome, _ := c.Try(ClassCallWrite, insert("v"), time.Second)
			require.Equal(t, tc.want, outcome)
			c.Close()
			require.NoError(t, server.Shutdown())
			<-done
		})
	}
}

func TestFailedDialIsNotSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	_, outcome, err := New(address, time.Second).Try(ClassCallWrite, insert("v"), time.Second)
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Equal(t, ReasonUnreachable, notSent.Reason)
	require.Equal(t, OutcomeNotApplied, outcome)
}

// TestRequestOverInFlightLimitIsRefused checks that a request is refused immediately while
// slow requests use up the limit of requests in flight.
func TestRequestOverInFlightLimitIsRefused(t *testing.T) {
	s, c := start(t, func(cfg *Config) {
		cfg.InFlight = 1
		cfg.Attempts = 1
		cfg.AttemptTimeout = 20 * time.Second
		cfg.Timeout = 20 * time.Second
	})
	s.SetFaults(wire.PlatformFaults{DelayMs: 300})
	var slow sync.WaitGroup
	slow.Go(func() { _, _ = c.Get("k") })
	require.Eventually(t, func() bool { return len(c.inFlight) == 1 }, 10*time.Second, time.Millisecond)
	_, err := c.Get("k")
	var notSent *NotSentError
	require.ErrorAs(t, err, &notSent)
	require.Equal(t, ReasonBusy, notSent.Reason)
	slow.Wait()
}

// TestShareOfTheRate checks that the number of writes admitted at the same time is bounded
// by this VM's burst and the tokens added meanwhile, for any number of VMs, and
// that calls leave some writes for the control class.
func TestShareOfTheRate(t *testing.T) {
	r := DefaultRates()
	r.MaxWait = 0
	for _, vms := range []int{1, 5, 450} {
		l := newLimits(r, vms)
		calls, control := 0, 0
		for range 10_000 {
			if _, ok := l.admit(ClassCallWrite, time.Second); ok {
				calls++
			}
		}
		for range 10_000 {
			if _, ok := l.admit(ClassControlWrite, time.Second); ok {
				control++
			}
		}
		burst := max(minBurst, int(r.WritesPerSecond*r.Burst.Seconds()/float64(vms)))
		require.GreaterOrEqual(t, calls, minBurst, "vms=%d", vms)
		require.LessOrEqual(t, calls+control, burst+burst/4+minBurst, "vms=%d", vms)
		if vms < 50 {
			require.Positive(t, control, "vms=%d: calls used up all writes", vms)
		}
	}
}

// TestReadsAreRetried checks that a read is retried while the store is down, and that
// IsNotFound matches only the status 404.
func TestReadsAreRetried(t *testing.T) {
	s, c := start(t, nil)
	s.Table.Apply(insert("v"))
	s.SetFaults(wire.PlatformFaults{Down: true})
	var repair sync.WaitGroup
	repair.Go(func() {
		for s.Counts().Refused == 0 {
			time.Sleep(time.Millisecond)
		}
		s.SetFaults(wire.PlatformFaults{})
	})
	row, err := c.Get("k")
	repair.Wait()
	require.NoError(t, err)
	require.Equal(t, "v", string(row.Value))
	_, err = c.GetObject("none")
	require.True(t, IsNotFound(err))
	require.False(t, IsNotFound(errors.WithStack(&StatusError{"", 500})))
}

// TestShareCountsEntryVMs checks that endpoints in the platform's list are not
// counted when the store's rate is divided, and that the larger of the numbers of
// the list and the membership is used.
func TestShareCountsEntryVMs(t *testing.T) {
	s, c := start(t, nil)
	s.SetVMs([]wire.VM{{ID: "entry-1", Peer: "127.0.0.1:1"}, {ID: "entry-2", Peer: "127.0.0.1:2"}, {ID: "scribe-1"}})
	_, err := c.VMs()
	require.NoError(t, err)
	require.InDelta(t, DefaultRates().WritesPerSecond/2, float64(c.limits.writes.Limit()), 0.001)
	c.SetVMs(5)
	require.InDelta(t, DefaultRates().WritesPerSecond/5, float64(c.limits.writes.Limit()), 0.001)
	c.SetVMs(1)
	require.InDelta(t, DefaultRates().WritesPerSecond/2, float64(c.limits.writes.Limit()), 0.001)
}
