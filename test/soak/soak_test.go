package main

import (
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/platform/platformtest"
)

// ciSeed and ciLength are those of the run in CI.
const (
	ciSeed   = 1
	ciLength = 5 * time.Second
)

// TestSoak runs one seed for a short time. That all is served again within a time is
// checked by longer runs only, as it depends on the machine's load.
func TestSoak(t *testing.T) {
	bin, err := program(t.TempDir())
	require.NoError(t, err)
	r, err := runSeed(t.Context(), bin, ciSeed, ciLength)
	require.NoError(t, err)
	broken := slices.DeleteFunc(r.violations, func(v string) bool { return strings.HasPrefix(v, string(recovery)) || strings.HasPrefix(v, "logs in") })
	require.Empty(t, broken, r.faults)
	require.Positive(t, r.checked[wholeAnswer])
	require.Positive(t, r.checked[atMostOnce])
	require.Positive(t, r.checked[neverBack])
}

// TestCheckersDetect shows each checker what a broken system would do.
func TestCheckersDetect(t *testing.T) {
	now := time.Now()
	run := func(attempt, path string) platformtest.Run {
		return platformtest.Run{Endpoint: "i-1", Attempt: attempt, Path: path, At: now}
	}
	answered := func(attempt, path string, status int, body string) outcome {
		return outcome{vm: "vm-0", attempt: attempt, path: path, sent: now, ended: now.Add(time.Second), status: status, body: body, complete: true}
	}
	cut := answered("a", "/safe/x", 0, "")
	cut.complete = false
	for name, test := range map[string]struct {
		promise promise
		do      func(c *checkers)
	}{
		"another's answer": {wholeAnswer, func(c *checkers) { c.ended(answered("a", "/safe/x", http.StatusOK, platformtest.Answer("b"))) }},
		"part of a stream": {wholeAnswer, func(c *checkers) {
			c.ended(answered("a", "/stream/x", http.StatusOK, platformtest.StreamAnswer("a", streamEvents-1)))
		}},
		"two runs": {atMostOnce, func(c *checkers) {
			c.ran(run("a", "/once/x"))
			c.ran(run("a", "/once/x"))
		}},
		"refused after a run": {notRun, func(c *checkers) {
			c.ran(run("a", "/once/x"))
			c.ended(answered("a", "/once/x", http.StatusServiceUnavailable, ""))
		}},
		"run after a refusal": {notRun, func(c *checkers) {
			c.ended(answered("a", "/once/x", http.StatusServiceUnavailable, ""))
			c.ran(run("a", "/once/x"))
		}},
		"asked after leaving": {leavingAlone, func(c *checkers) {
			c.leaves("i-1", now.Add(-leavingBound-storeTrouble-time.Second))
			c.ran(run("a", "/safe/x"))
		}},
		"asked after leaving, without faults": {leavingAlone, func(c *checkers) {
			c.leaves("i-1", now.Add(-leavingBound-time.Second))
			c.endFaults(now.Add(-time.Second))
			c.ran(run("a", "/safe/x"))
		}},
		"asked while evacuated": {evacuation, func(c *checkers) {
			c.started("i-1", evacuableDomain)
			c.evacuated(evacuableDomain, now.Add(-leavingBound-storeTrouble-time.Second))
			c.ran(run("a", "/safe/x"))
		}},
		"too many while cold": {coldSpared, func(c *checkers) {
			c.becameCold("i-1", now, now.Add(statedCold))
			for i := range 40 {
				c.ran(platformtest.Run{Endpoint: "i-1", Attempt: "vm-0/a", Path: "/safe/x", At: now.Add(coldPropagation + time.Duration(i)*50*time.Millisecond)})
			}
		}},
		"above a limit": {limitKept, func(c *checkers) {
			limited := platformtest.Run{Endpoint: "i-1", Attempt: "vm-0/a", Path: "/safe/x", Limit: 2, LimitedAt: now}
			limited.At = now
			c.named(limited)
			for i := range 40 {
				limited.At = now.Add(stableWindow + time.Duration(i)*100*time.Millisecond)
				c.ran(limited)
			}
		}},
		"crashing on": {crashStopped, func(c *checkers) {
			crash := platformtest.Run{Endpoint: "i-1", Attempt: "vm-0/a", Path: "/safe" + platformtest.CrashPath + "1"}
			for i := range crashesAllowed + lateSends + 1 {
				crash.At = now.Add(time.Duration(max(0, i-crashesAllowed+1)) * (stableWindow + time.Second))
				c.ran(crash)
			}
		}},
		"cut by a stop": {plannedStop, func(c *checkers) {
			c.addStop(span{"vm-0", "", now, now.Add(grace)})
			c.ran(run("a", "/safe/x"))
			c.ended(cut)
		}},
		"cut by a stop, another endpoint in trouble": {plannedStop, func(c *checkers) {
			c.addStop(span{"vm-0", "", now, now.Add(grace)})
			c.addDisturbance(span{"", "i-2", now, now.Add(time.Second)})
			c.ran(run("a", "/safe/x"))
			c.ended(cut)
		}},
		"configuration back": {neverBack, func(c *checkers) {
			c.probed("vm-0/1", 2, true, now)
			c.probed("vm-0/1", 2, false, now)
		}},
		"not served while cut off": {firstTries, func(c *checkers) {
			c.pathsCut("vm-0", true, now.Add(-stableWindow))
			c.pathsHealed("vm-0", now.Add(time.Minute))
			other := answered("a", "/safe/x", http.StatusOK, platformtest.Answer("a"))
			other.vm = "vm-1"
			for range 20 {
				c.ended(answered("a", "/safe/x", http.StatusServiceUnavailable, ""))
				c.ended(other)
			}
		}},
		"no answer to a readiness check": {responsive, func(c *checkers) {
			c.disturbProcess("vm-0")
			c.processGoesOn("vm-0", now.Add(-settleTime-time.Second))
			c.askedReadiness("vm-0", now, false)
		}},
		"a stop that has to be killed": {stopInTime, func(c *checkers) { c.stopEnded("vm-0", false) }},
		"memory that grows": {memoryKept, func(c *checkers) {
			c.startedWith("vm-0", 30<<20)
			c.endedWith("vm-0", 120<<20)
		}},
		"not by the latest configuration": {recovery, func(c *checkers) {
			c.endFaults(now.Add(-time.Second))
			c.probed("vm-0/1", 2, false, now)
		}},
		"not served again": {recovery, func(c *checkers) {
			c.endFaults(now.Add(-time.Second))
			c.ended(answered("a", "/safe/x", http.StatusServiceUnavailable, ""))
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCheckers()
			test.do(c)
			violations := c.finish()
			require.True(t, slices.ContainsFunc(violations, func(v string) bool { return strings.HasPrefix(v, string(test.promise)) }), violations)
		})
	}
}

// TestCheckersAllow shows the checkers what the system may do.
func TestCheckersAllow(t *testing.T) {
	now := time.Now()
	c := newCheckers()
	c.ran(platformtest.Run{Endpoint: "i-1", Attempt: "a", Path: "/safe/x", At: now})
	c.ran(platformtest.Run{Endpoint: "i-2", Attempt: "a", Path: "/safe/x", At: now})
	c.started("i-1", evacuableDomain)
	c.evacuated(evacuableDomain, now.Add(-leavingBound))
	c.ran(platformtest.Run{Endpoint: "i-1", Attempt: "c", Path: "/safe/x", At: now})
	c.evacuationEnded(evacuableDomain)
	c.ran(platformtest.Run{Endpoint: "i-1", Attempt: "d", Path: "/safe/x", At: now.Add(time.Hour)})
	// As many requests as a cold endpoint bears, more while the VMs may not know that it is cold,
	// and while a path is disturbed.
	c.becameCold("i-5", now, now.Add(statedCold))
	c.addDisturbance(span{"", "i-5", now.Add(4 * time.Second), now.Add(5 * time.Second)})
	c.storeInTrouble(span{"", "", now.Add(3 * time.Second), now.Add(4 * time.Second)})
	for i := range 600 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		if i%15 == 0 || i < 140 || i > 300 && i < 500 {
			c.ran(platformtest.Run{Endpoint: "i-5", Attempt: "vm-0/a", Path: "/safe/x", At: at})
		}
	}
	// As many requests as a limit allows, more of a VM that has not been told, and of one that
	// was paused.
	limited := platformtest.Run{Endpoint: "i-1", Attempt: "vm-0/a", Path: "/safe/x", Limit: 2, LimitedAt: now, At: now}
	c.named(limited)
	limited.Attempt = "vm-2/a"
	c.named(limited)
	c.excuse(span{"vm-2", "", now, now.Add(stableWindow)})
	for i := range 40 {
		limited.At = now.Add(stableWindow + time.Duration(i)*100*time.Millisecond)
		limited.Attempt = []string{"vm-0/a", "vm-1/a", "vm-2/a"}[i%3]
		if limited.Attempt == "vm-0/a" || i < 30 {
			c.ran(limited)
		}
	}
	crash := platformtest.Run{Endpoint: "i-1", Attempt: "vm-0/a", Path: "/safe" + platformtest.CrashPath + "1", At: now}
	for range 2 * crashesAllowed {
		c.ran(crash)
	}
	c.addStop(span{"vm-0", "", now, now.Add(grace)})
	c.addDisturbance(span{"", "i-1", now, now.Add(time.Second)})
	c.ended(outcome{vm: "vm-0", attempt: "a", path: "/safe/x", sent: now, ended: now})
	// First tries that are not served soon after the begin of a cut, or while the VM is stopping,
	// or as the others' are not either.
	c.pathsCut("vm-3", true, now)
	for range 20 {
		c.ended(outcome{vm: "vm-3", path: "/safe/x", sent: now, ended: now, status: http.StatusServiceUnavailable, complete: true})
	}
	c.pathsCut("vm-0", true, now.Add(-stableWindow))
	for _, vm := range []string{"vm-0", "vm-4"} {
		for range 20 {
			c.ended(outcome{vm: vm, path: "/safe/x", sent: now.Add(time.Second), ended: now.Add(time.Second), status: http.StatusServiceUnavailable, complete: true})
		}
	}
	// No answer while the process is paused or has just been started, and memory as at the start.
	c.disturbProcess("vm-0")
	c.askedReadiness("vm-0", now, false)
	c.processGoesOn("vm-0", now)
	c.askedReadiness("vm-0", now.Add(settleTime/2), false)
	c.askedReadiness("vm-0", now.Add(2*settleTime), true)
	c.stopEnded("vm-0", true)
	c.startedWith("vm-0", 30<<20)
	c.endedWith("vm-0", 60<<20)
	c.probed("vm-0/1", 1, true, now)
	c.probed("vm-0/1", 2, false, now)
	c.probed("vm-0/2", 1, false, now)
	c.endFaults(now)
	c.ended(outcome{vm: "vm-0", attempt: "b", path: "/safe/x", sent: now.Add(time.Second), status: http.StatusOK, body: platformtest.Answer("b"), complete: true})
	require.Empty(t, c.finish())
}
