package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/confapply"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

const (
	platformTimeout = 5 * time.Second
	waitStep        = 100 * time.Millisecond
)

// accepted is what apply reports.
type accepted struct {
	confapply.Result
	// InForce lists the VMs that have the version, or a later one, in force.
	InForce []string `json:"in_force,omitempty"`
	// Missing lists the VMs that do not, or that do not answer.
	Missing []string `json:"missing,omitempty"`
}

// apply puts a folder in force.
func apply(args []string) int {
	c := newInvocation("apply", "apply -platform IP:PORT [-base N] [-wait 5s -admin IP:PORT,... -token-file FILE] [-limit 30s] [-json] DIR")
	address := c.String("platform", "", "platform's address, IP and port")
	base := c.Int64("base", 0, "version that the folder was made from; 0 for the first")
	wait := c.Duration("wait", 0, "wait so long until the version is in force on the VMs of -admin")
	limit := c.Duration("limit", confapply.DefaultLimit, "how long to go on where the store fails")
	admins := newAdmins(c)
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	if *address == "" {
		return c.misused("-platform is required")
	}
	if *wait > 0 && len(admins.list()) == 0 {
		return c.misused("-wait needs the VMs' addresses, -admin")
	}
	files, err := confapply.ReadFolder(rest[0])
	if err != nil {
		return c.failed(err)
	}
	store := platform.New(*address, platformTimeout)
	defer store.Close()
	result, err := confapply.Run(store, confapply.Change{Files: files, Base: *base, Limit: *limit})
	if err != nil {
		return c.failed(err)
	}
	return c.accepted(accepted{Result: result}, *base, *wait, admins)
}

// accepted waits for the version and reports.
func (c *invocation) accepted(a accepted, base int64, wait time.Duration, admins *admins) int {
	if wait > 0 {
		token, err := admins.token()
		if err != nil {
			return c.failed(err)
		}
		a.InForce, a.Missing = waitInForce(admins.list(), token, a.Version, wait)
	}
	text := fmt.Sprintf("version %d accepted", a.Version)
	if a.Merged {
		text += fmt.Sprintf("; it also holds changes of others since version %d: fetch it before the next change", base)
	}
	if len(a.InForce) > 0 {
		text += "; in force on " + strings.Join(a.InForce, ", ")
	}
	c.done(a, "%s", text)
	if len(a.Missing) > 0 {
		fmt.Fprintf(os.Stderr, "cornelsaddlectl apply: not seen in force on %s\n", strings.Join(a.Missing, ", "))
		return exitFailed
	}
	return exitDone
}

// waitInForce asks the VMs until all have the version in force or the time is
// over.
func waitInForce(addresses []string, token string, version int64, limit time.Duration) (inForce, missing []string) {
	end := time.Now().Add(limit)
	missing = slices.Clone(addresses)
	for {
		missing = slices.DeleteFunc(missing, func(address string) bool {
			s, err := askStatus(address, token)
			if err != nil || s.Configuration < version {
				return false
			}
			inForce = append(inForce, s.VM)
			return true
		})
		if len(missing) == 0 || time.Now().After(end) {
			return inForce, missing
		}
		time.Sleep(waitStep)
	}
}

// fetched is what fetch reports.
type fetched struct {
	Version int64 `json:"version"`
	Files   int   `json:"files"`
}

// fetch writes the files of an accepted version into a folder.
func fetch(args []string) int {
	c := newInvocation("fetch", "fetch -platform IP:PORT [-version N] [-json] DIR")
	address := c.String("platform", "", "platform's address, IP and port")
	version := c.Int64("version", 0, "version to fetch; 0 for the newest")
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	if *address == "" {
		return c.misused("-platform is required")
	}
	store := platform.New(*address, platformTimeout)
	defer store.Close()
	files, err := readVersion(store, version)
	if err != nil {
		return c.failed(err)
	}
	if err := confapply.WriteFolder(rest[0], files); err != nil {
		return c.failed(err)
	}
	return c.done(fetched{*version, len(files)}, "version %d: %d files", *version, len(files))
}

// readVersion reads the files; where no version was named, it sets the newest.
func readVersion(store *platform.Client, version *int64) ([]configuration.File, error) {
	if *version == 0 {
		head, err := confapply.ReadHead(store)
		if err != nil {
			return nil, err
		}
		if head.Version == 0 {
			return nil, errcode.New(errcode.NotReady, "no configuration was applied yet")
		}
		*version = head.Version
	}
	return confapply.ReadFiles(store, *version)
}
