package main

import (
	"encoding/json"
	"io"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/findings"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	store "cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/platform/platformtest"
	standin "cornelsaddle.example/cornelsaddle/standin/platform"
)

// runCaptured runs a command and returns its exit code, standard output and standard error.
func runCaptured(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	stdout, stderr := os.Stdout, os.Stderr
	defer func() { os.Stdout, os.Stderr = stdout, stderr }()
	read := func(target **os.File) func() string {
		f, err := os.Create(filepath.Join(t.TempDir(), "output"))
		require.NoError(t, err)
		*target = f
		return func() string {
			defer f.Close()
			_, err := f.Seek(0, io.SeekStart)
			require.NoError(t, err)
			data, err := io.ReadAll(f)
			require.NoError(t, err)
			return string(data)
		}
	}
	readOut, readErr := read(&os.Stdout), read(&os.Stderr)
	code = run(args)
	return code, readOut(), readErr()
}

// folderWith returns a copy of the quick-start example with one more file.
func folderWith(t *testing.T, name, text string) string {
	t.Helper()
	dir := t.TempDir()
	require.NoError(t, os.CopyFS(dir, os.DirFS("../../examples/quickstart")))
	require.NoError(t, os.WriteFile(filepath.Join(dir, name), []byte(text), resultMode))
	return dir
}

// TestCheckOfExamples guards against rules that report sound configurations. The limits of
// vltavske add up to more than its engines can prefill, which is a finding by rule.
func TestCheckOfExamples(t *testing.T) {
	for _, name := range []string{"kivukoni", "quickstart"} {
		code, out, errOut := runCaptured(t, "check", "../../examples/"+name)
		require.Equal(t, exitDone, code, "%s: %s%s", name, out, errOut)
		require.Equal(t, "no findings\n", out)
	}
	code, out, _ := runCaptured(t, "check", "../../examples/vltavske")
	require.Equal(t, exitFailed, code)
	require.Equal(t, "contradiction: 50-limits.json: /limits/tokens_per_second: the limit, 330000, is over the sum of the endpoints' prefill rates, 263000\n", out)
	code, out, _ = runCaptured(t, "check", "-json", "../../examples/quickstart")
	require.Equal(t, exitDone, code)
	require.Contains(t, out, `"findings":[]`, "a reader of the JSON output needs a list, also an empty one")
}

// TestCheckReportsFindings guards against findings that don't fail the command, and against
// output without the place.
func TestCheckReportsFindings(t *testing.T) {
	dir := folderWith(t, "90-more.json", `{"organisations":{"gilders":{"key_digests":[],"weight":1,"services":[]}}}`)
	code, out, errOut := runCaptured(t, "check", dir)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "never_matches: 90-more.json: /organisations/gilders/services: ")
	require.Contains(t, errOut, "findings: 2")

	code, out, _ = runCaptured(t, "check", "-json", dir)
	require.Equal(t, exitFailed, code)
	var result checkResult
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Len(t, result.Findings, 2)

	dir = folderWith(t, "90-more.json", `{"limits":{"retries":2}}`)
	code, out, _ = runCaptured(t, "check", "-json", dir)
	require.Equal(t, exitFailed, code)
	require.NoError(t, json.Unmarshal([]byte(out), &result))
	require.Equal(t, findings.Invalid, result.Findings[0].Kind)
	require.Equal(t, "/limits/retries", result.Findings[0].Pointer)
}

// TestCheckOfUnreadablePaths guards against a path that can't be read being taken for a
// configuration with missing fields.
func TestCheckOfUnreadablePaths(t *testing.T) {
	empty := t.TempDir()
	missing := filepath.Join(empty, "none")
	for path, text := range map[string]string{empty: "no configuration files", missing: "no such file or directory"} {
		code, _, errOut := runCaptured(t, "check", path)
		require.Equal(t, exitFailed, code)
		require.Contains(t, errOut, path)
		require.Contains(t, errOut, text)
		code, out, _ := runCaptured(t, "check", "-json", path)
		require.Equal(t, exitFailed, code)
		var r checkResult
		require.NoError(t, json.Unmarshal([]byte(out), &r))
		require.Contains(t, r.Error, text)
	}
	code, _, _ := runCaptured(t, "check")
	require.Equal(t, exitUsage, code)
}

// documentFile writes a configuration document with one route of the service and returns its
// path.
func documentFile(t *testing.T, r platformtest.Route) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "document")
	data := platformtest.Configuration(3, "h.example", []platformtest.Route{r}, []string{"k"})
	require.NoError(t, os.WriteFile(path, data, resultMode))
	return path
}

// TestCheckOfDocuments guards against a document being read as a folder's file, and against a
// retry budget that is not compared.
func TestCheckOfDocuments(t *testing.T) {
	path := documentFile(t, platformtest.Route{Prefix: "/a/", Kind: "idempotent", Service: "s", Timeout: time.Second, MaxAttempts: 102})
	code, out, errOut := runCaptured(t, "check", path)
	require.Equal(t, exitDone, code, out+errOut)
	settings := filepath.Join(t.TempDir(), "settings")
	data := platformtest.Settings("vm", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", "127.0.0.1:4", nil, time.Second)
	require.NoError(t, os.WriteFile(settings, data, resultMode))
	code, out, _ = runCaptured(t, "check", "-settings", settings, path)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "contradiction: "+path+": /routes/0/max_attempts: ")

	code, out, _ = runCaptured(t, "check", "../../examples/quickstart/20-services.json")
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "/services: expected a list", "a file of a folder is no document")

	code, _, _ = runCaptured(t, "check", "-settings", settings, "../../examples/quickstart")
	require.Equal(t, exitUsage, code)
	code, _, errOut = runCaptured(t, "check", "-settings", settings+"x", path)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "no such file or directory")
}

// TestCheckComparesFolders guards against differences that are lost, that are those of the text,
// or that fail the command, and against a store that can't be read being passed over.
func TestCheckComparesFolders(t *testing.T) {
	const inForce = "../../examples/quickstart"
	same := folderWith(t, "90-more.json", `{"limits":{}}`)
	changed := folderWith(t, "90-more.json", `{"services":{"scribe-pool":{"max_timeout_ms":77000}}}`)
	server, err := standin.Start(standin.Config{Address: "127.0.0.1:0"})
	require.NoError(t, err)
	defer server.Close()
	client := store.New(server.Addr(), time.Second)
	defer client.Close()

	code, _, errOut := runCaptured(t, "check", "-platform", server.Addr(), same)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "store at "+server.Addr())
	require.Contains(t, errOut, "no configuration has been applied yet")

	files, err := confapply.ReadFolder(inForce)
	require.NoError(t, err)
	_, err = confapply.Apply(client, files, 0)
	require.NoError(t, err)
	for _, base := range [][]string{{"-against", inForce}, {"-platform", server.Addr()}, {"-platform", server.Addr(), "-version", "1"}} {
		code, out, errOut := runCaptured(t, append(append([]string{"check"}, base...), same)...)
		require.Equal(t, exitDone, code, errOut)
		require.Equal(t, "no findings\nno differences\n", out)
		code, out, errOut = runCaptured(t, append(append([]string{"check"}, base...), changed)...)
		require.Equal(t, exitDone, code, errOut)
		require.Regexp(t, `^no findings\nchanged: /services/scribe-pool/max_timeout_ms: \d+ -> 77000\n$`, out)
	}
	code, out, _ := runCaptured(t, "check", "-json", "-against", inForce, same)
	require.Equal(t, exitDone, code)
	require.Equal(t, `{"findings":[],"differences":[]}`+"\n", out)

	code, _, errOut = runCaptured(t, "check", "-platform", server.Addr(), "-version", "2", same)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "version 2 does not exist")
	faulty := folderWith(t, "90-more.json", `{"organisations":{"gilders":{"key_digests":[],"weight":1,"services":["scribe-pool"]}}}`)
	code, out, errOut = runCaptured(t, "check", "-against", filepath.Join(same, "none"), faulty)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "never_matches: ", "the findings are those made without what can't be read")
	require.Contains(t, errOut, "no such file or directory")
	for _, args := range [][]string{{"-version", "1"}, {"-against", inForce, "-platform", server.Addr()}} {
		code, _, _ = runCaptured(t, append(append([]string{"check"}, args...), same)...)
		require.Equal(t, exitUsage, code)
	}
}

// TestCheckComparesDocuments guards against the same for documents, and against a changed
// document whose version VMs would ignore.
func TestCheckComparesDocuments(t *testing.T) {
	route := platformtest.Route{Prefix: "/a/", Kind: "idempotent", Service: "s", Timeout: time.Second}
	inForce := documentFile(t, route)
	route.Timeout = time.Minute
	changed := documentFile(t, route)
	rows := platformtest.NewStore(1)
	server := httptest.NewServer(rows)
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")

	code, _, errOut := runCaptured(t, "check", "-platform", address, changed)
	require.Equal(t, exitFailed, code)
	require.Contains(t, errOut, "the store at "+address+" holds no configuration")

	data, err := os.ReadFile(inForce)
	require.NoError(t, err)
	rows.Put(platformtest.TableOperator, "config", data)
	code, out, _ := runCaptured(t, "check", "-platform", address, inForce)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "never_matches: "+inForce+": /services/0: ", "the registry lists no endpoint")
	rows.Put(platformtest.TableEndpoints, "e", []byte(`{"service":"s","address":"127.0.0.1:1","slots":1,"state":"ready"}`))
	for _, base := range [][]string{{"-against", inForce}, {"-platform", address}} {
		code, out, errOut := runCaptured(t, append(append([]string{"check"}, base...), inForce)...)
		require.Equal(t, exitDone, code, errOut)
		require.Equal(t, "no findings\nno differences\n", out)
		code, out, _ = runCaptured(t, append(append([]string{"check"}, base...), changed)...)
		require.Equal(t, exitFailed, code)
		require.Equal(t, "invalid: "+changed+": /version: VMs ignore version 3, as version 3 is in force\n"+
			`changed: /routes/r0/timeout: "1s" -> "1m0s"`+"\n", out)
	}
	broken := filepath.Join(t.TempDir(), "broken")
	require.NoError(t, os.WriteFile(broken, []byte(`{"routes":7}`), resultMode))
	code, out, _ = runCaptured(t, "check", "-json", "-against", broken, changed)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "/routes: expected a list")
	require.NotContains(t, out, "differences")
}

// TestCheckOfAStoreThatIsDown guards against an unreachable store being taken for one without a
// configuration.
func TestCheckOfAStoreThatIsDown(t *testing.T) {
	address, err := platformtest.FreeAddress()
	require.NoError(t, err)
	document := documentFile(t, platformtest.Route{Prefix: "/a/", Kind: "idempotent", Service: "s", Timeout: time.Second})
	for path, reason := range map[string]string{"../../examples/quickstart": "no connection", document: "connection refused"} {
		code, out, errOut := runCaptured(t, "check", "-platform", address, path)
		require.Equal(t, exitFailed, code)
		require.Empty(t, out)
		require.Contains(t, errOut, "store at "+address+": ")
		require.Contains(t, errOut, reason)
	}
}
