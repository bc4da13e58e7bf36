package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/internal/node"
)

// vmStatus is one VM's answer, or why there is none.
type vmStatus struct {
	Address string       `json:"address"`
	Status  *node.Status `json:"status,omitempty"`
	Error   string       `json:"error,omitempty"`
}

// status shows VMs and the version that each has in force. It fails when a VM
// does not answer.
func status(args []string) int {
	c := newInvocation("status", "status -admin IP:PORT,... [-token-file FILE] [-json]")
	admins := newAdmins(c)
	if _, code := c.parse(args, 0); code >= 0 {
		return code
	}
	if len(admins.list()) == 0 {
		return c.misused("-admin is required")
	}
	token, err := admins.token()
	if err != nil {
		return c.failed(err)
	}
	code := exitDone
	var all []vmStatus
	for _, address := range admins.list() {
		line := vmStatus{Address: address}
		if s, err := askStatus(address, token); err != nil {
			line.Error = err.Error()
			code = exitFailed
		} else {
			line.Status = &s
		}
		all = append(all, line)
	}
	if *c.json {
		c.print(all)
	} else {
		printStatus(all)
	}
	return code
}

func printStatus(all []vmStatus) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	defer func() { _ = w.Flush() }()
	fmt.Fprintln(w, "ADDRESS\tVM\tFAILURE DOMAIN\tSTATE\tVERSION\tKNOWN VERSION\tIN FLIGHT\tPEERS")
	for _, line := range all {
		if line.Status == nil {
			fmt.Fprintf(w, "%s\t-\t-\t%s\t\t\t\t\n", line.Address, line.Error)
			continue
		}
		s := line.Status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%d\n", line.Address, s.VM, s.FailureDomain, s.State, s.Configuration, s.KnownConfiguration, s.InFlight, len(s.Peers))
	}
}

// drain asks VMs to shut down gracefully.
func drain(args []string) int {
	c := newInvocation("drain", "drain -admin IP:PORT,... [-token-file FILE] [-json]")
	admins := newAdmins(c)
	if _, code := c.parse(args, 0); code >= 0 {
		return code
	}
	if len(admins.list()) == 0 {
		return c.misused("-admin is required")
	}
	token, err := admins.token()
	if err != nil {
		return c.failed(err)
	}
	for _, address := range admins.list() {
		if _, err := askVM(fasthttp.MethodPost, address, "/drain", token); err != nil {
			return c.failed(err)
		}
	}
	return c.done(admins.list(), "draining: %s", *admins.addresses)
}
