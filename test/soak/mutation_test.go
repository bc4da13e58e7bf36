package main

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var mutate = flag.Bool("mutations", false, "run the soak on programs that break a promise each, which takes some minutes")

const (
	// sourceRoot is the root of the module, relative to this package.
	sourceRoot = "../.."
	// mutatedPackage imports all packages that mutations edit.
	mutatedPackage = "cornelsaddle.example/cornelsaddle/internal/entry"
	// mutationSeeds is the number of seeds of which one must find a mutation, and
	// mutationLength the time of the faults of each.
	mutationSeeds  = 6
	mutationLength = 8 * time.Second
)

// edit replaces a part of a source file that occurs in it exactly once.
type edit struct{ file, old, replacement string }

// mutations has edits for each promise that make the program break it.
var mutations = map[promise][]edit{
	wholeAnswer: {{"internal/gateway/events.go", "case b.scanner.InEvent():", "case false:"}},
	atMostOnce:  {{"internal/gateway/end.go", "case !result.notRun && !x.route.Repeatable():", "case false:"}},
	notRun:      {{"internal/gateway/exchange.go", "case !x.mayHaveRun:", "case true:"}},
	leavingAlone: {
		{"core/directory/directory.go", "if r == nil {\n\t\treturn\n\t}\n\tif r.State", "if true {\n\t\treturn\n\t}\n\tif r.State"},
		{"internal/entry/registry.go", "if h.Leaving && r.markLeaving(i, sourceResponse) {", "if false {"},
	},
	evacuation:   {{"internal/entry/tables.go", "t.evacuate(domain, !row.Removed)", "_ = domain"}},
	coldSpared:   {{"core/dispatch/limit.go", "if c := d.cold[e.Service]; e.cold(now, c) {", "if c := d.cold[e.Service]; false && e.cold(now, c) {"}},
	limitKept:    {{"core/dispatch/limit.go", "return !bounded || e.bucket.Admits(now, perSecond)", "return true || !bounded || e.bucket.Admits(now, perSecond)"}},
	crashStopped: {{"core/quarantine/request.go", "if requestWeight(cfg, crashes, digest, answered[digest]) >= needed*crashWeight {", "if requestWeight(cfg, crashes, digest, answered[digest]) < 0 {"}},
	plannedStop: {
		{"internal/entry/entry.go", "time.Sleep(time.Until(plan.Unready))\n\tv.callerServer.drain(plan.Exit)", ""},
	},
	neverBack: {
		{"internal/entry/tables.go", "if deployment.Version <= active {", "if false {"},
		{"internal/entry/tables.go", "return t.versionOf(row) >= t.versionOf(known)", "return true"},
	},
	firstTries: {{"internal/upstream/ways.go", "if t.cfg.Relay == nil || req.Endpoint.ID == \"\" {\n\t\treturn t.openDirect", "if true {\n\t\treturn t.openDirect"}},
	// A lock that requests and readiness checks need is never released.
	responsive: {{"internal/entry/registry.go", "r.directory.Expire(time.Now())", "r.directory.Expire(time.Now())\n\t\tr.mu.Lock()"}},
	stopInTime: {{"internal/entry/entry.go", "v.components.RelayServer.Drain(plan.Exit)", "time.Sleep(time.Hour)"}},
	memoryKept: {
		{"internal/gateway/failure.go", "type failureCode string", "type failureCode string\n\nvar leaked []string"},
		{"internal/gateway/admit.go", "x.requestDigest = x.digest()", "x.requestDigest = x.digest()\n\tleaked = append(leaked, strings.Repeat(\"x\", 1<<19))"},
	},
	recovery: {{"internal/mirror/follower.go", "sleep(ctx, retryDelay.NextBackOff()+rand.N(minBackoff))", "_ = rand.N(minBackoff)\n\t\t\treturn"}},
}

// TestMutationsApply checks that each promise has a mutation, which the sources still
// have the place for, and which can be built.
func TestMutationsApply(t *testing.T) {
	for _, p := range promises {
		out, err := exec.Command("go", "build", "-overlay", overlay(t, mutations[p]), mutatedPackage).CombinedOutput()
		require.NoError(t, err, "%s: %s", p, out)
	}
}

// TestMutationsAreFound runs the soak on programs that break a promise each.
func TestMutationsAreFound(t *testing.T) {
	if !*mutate {
		t.Skip("without -mutations")
	}
	for _, p := range promises {
		t.Run(string(p), func(t *testing.T) {
			bin, err := program(t.TempDir(), "-overlay", overlay(t, mutations[p]))
			require.NoError(t, err)
			require.True(t, finds(t, bin, p))
		})
	}
}

// finds reports whether one of the seeds shows that the program breaks a promise.
func finds(t *testing.T, bin string, p promise) bool {
	for seed := range uint64(mutationSeeds) {
		r, err := runSeed(t.Context(), bin, seed+1, mutationLength)
		require.NoError(t, err)
		t.Logf("seed %d: %d failed: %.300s", seed+1, len(r.violations), strings.Join(r.violations, "; "))
		if slices.ContainsFunc(r.violations, func(v string) bool { return strings.HasPrefix(v, string(p)) }) {
			return true
		}
	}
	return false
}

// overlay returns the path of a file by which the build takes the edited sources in
// place of the ones in the tree.
func overlay(t *testing.T, edits []edit) string {
	require.NotEmpty(t, edits)
	dir := t.TempDir()
	replaced := make(map[string]string)
	for _, e := range edits {
		source, err := filepath.Abs(filepath.Join(sourceRoot, e.file))
		require.NoError(t, err)
		edited, ok := replaced[source]
		if !ok {
			edited = filepath.Join(dir, strings.ReplaceAll(e.file, "/", "_"))
			replaced[source] = edited
			text, err := os.ReadFile(source)
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(edited, text, 0o600))
		}
		text, err := os.ReadFile(edited)
		require.NoError(t, err)
		require.Equal(t, 1, strings.Count(string(text), e.old), "%s: %s", e.file, e.old)
		require.NoError(t, os.WriteFile(edited, []byte(strings.Replace(string(text), e.old, e.replacement, 1)), 0o600))
	}
	doc, err := json.Marshal(map[string]any{"Replace": replaced})
	require.NoError(t, err)
	path := filepath.Join(dir, "overlay.json")
	require.NoError(t, os.WriteFile(path, doc, 0o600))
	return path
}
