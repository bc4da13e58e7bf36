package gateway

import (
	"fmt"
	"strconv"
	"strings"
)

// What a failure states of whether the request was started at an endpoint.
const (
	ranNo      = "no"
	ranUnknown = "unknown"
)

// failureDoc describes a failure of the gateway's own for docs/ERRORS.md.
type failureDoc struct {
	code    failureCode
	ran     string
	meaning string
}

var failureDocs = []failureDoc{
	{failAbandoned, ranUnknown, "The caller disconnected before its response was complete."},
	{failTooLarge, ranNo, "The body exceeds the limit of the configuration."},
	{failTooSlow, ranNo, "The body has arrived more slowly than the limits of the configuration allow; the connection is closed."},
	{failBrokenOff, ranUnknown, "The response was aborted after its header was sent."},
	{failEndpoint, ranUnknown, "An endpoint failed, and the request may not be sent to another one."},
	{failNoRoute, ranNo, "No route of the configuration in force has the host and the path."},
	{failNotReady, ranNo, "The VM has no configuration yet."},
	{failNotRun, ranNo, "The request was sent to no endpoint, or each of them proved that it did not run it; event 711 has the reason."},
	{failPanicked, ranUnknown, "A defect of the gateway ended the request."},
	{failTimeout, ranUnknown, "The request's time has passed without a response."},
	{failUnknownKey, ranNo, "The route requires an API key, and no organisation of the configuration in force has it."},
	{failUnreadable, ranNo, "The body could not be read to its end."},
}

// FailuresDocument returns the section of docs/ERRORS.md on the failures of the gateway's own.
func FailuresDocument() string {
	var b strings.Builder
	b.WriteString("\n## The gateway\n\nResponses of endpoints are passed on as they are. A failure of the gateway's own has no body; event 713 has its\ncode.\n\n")
	b.WriteString("| code | status | ran | meaning |\n|---|---|---|---|\n")
	for _, f := range failureDocs {
		status := strconv.Itoa(f.code.status())
		if f.code == failAbandoned || f.code == failBrokenOff {
			// The connection is closed without a status of its own.
			status = ""
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", f.code, status, f.ran, f.meaning)
	}
	return b.String()
}
