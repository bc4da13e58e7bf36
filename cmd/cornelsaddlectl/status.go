package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/internal/node"
)

// vmStatus is the status of one VM, or the error of the request for it.
type vmStatus struct {
	Address string       `json:"address"`
	Status  *node.Status `json:"status,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// status prints the status of VMs and the configuration version that each has in
// force. It returns exitFailed if the status of any VM could not be read.
func status(args []string) int {
	c := newInvocation("status", "status -admin IP:PORT,... [-token-file FILE] [-json]")
	admins := newAdminFlags(c)
	if _, code := c.parse(args, 0); code >= 0 {
		return code
	}
	if len(admins.list()) == 0 {
		return c.usageError("-admin is required")
	}
	token, err := admins.token()
	if err != nil {
		return c.fail(err)
	}
	code := exitDone
	var statuses []vmStatus
	for _, address := range admins.list() {
		line := vmStatus{Address: address}
		if s, err := getStatus(address, token); err != nil {
			line.Error = err.Error()
			code = exitFailed
		} else {
			line.Status = &s
		}
		statuses = append(statuses, line)
	}
	if *c.json {
		c.print(statuses)
	} else {
		printStatus(statuses)
	}
	return code
}

func printStatus(statuses []vmStatus) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "ADDRESS\tVM\tFAILURE DOMAIN\tSTATE\tVERSION\tKNOWN VERSION\tIN FLIGHT\tPEERS")
	for _, line := range statuses {
		if line.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t%s\t\t\t\t\n", line.Address, line.Error)
			continue
		}
		s := line.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", line.Address, s.VM, s.FailureDomain, s.State, s.Configuration, s.KnownConfiguration, s.InFlight, len(s.Peers))
	}
}

// drain starts a graceful shutdown of VMs, one after the other. It ends at the
// first VM that does not accept the request.
func drain(args []string) int {
	c := newInvocation("drain", "drain -admin IP:PORT,... [-token-file FILE] [-json]")
	admins := newAdminFlags(c)
	if _, code := c.parse(args, 0); code >= 0 {
		return code
	}
	if len(admins.list()) == 0 {
		return c.usageError("-admin is required")
	}
	token, err := admins.token()
	if err != nil {
		return c.fail(err)
	}
	for _, address := range admins.list() {
		if _, err := sendAdminRequest(fasthttp.MethodPost, address, "/drain", token); err != nil {
			return c.fail(err)
		}
	}
	return c.done(admins.list(), "draining: %s", *admins.addresses)
}
