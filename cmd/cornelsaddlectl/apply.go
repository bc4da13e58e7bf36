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
	// platformTimeout bounds one attempt of a platform request.
	platformTimeout = 5 * time.Second
	// pollInterval is the wait between two rounds of status requests.
	pollInterval = 100 * time.Millisecond
)

// applyResult is the output of apply.
type applyResult struct {
	confapply.Result
	// InForce lists the IDs of the VMs that have the version, or a later one, in
	// force.
	InForce []string `json:"in_force,omitempty"`
	// Missing lists the admin addresses of the VMs that do not, or that could not
	// be queried.
	Missing []string `json:"missing,omitempty"`
}

// apply merges a folder into the configuration as a new version and, with -wait,
// waits until the VMs have it in force.
func apply(args []string) int {
	c := newInvocation("apply", "apply -platform IP:PORT [-base N] [-wait 5s -admin IP:PORT,... -token-file FILE] [-limit 30s] [-json] DIR")
	address := c.String("platform", "", "address of the platform, IP:PORT")
	base := c.Int64("base", 0, "version that the folder is based on; 0 for the first")
	wait := c.Duration("wait", 0, "maximum wait for the version to be in force on the VMs of -admin; 0 for no wait")
	limit := c.Duration("limit", confapply.DefaultLimit, "how long to retry while the store fails")
	admins := newAdminFlags(c)
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	if *address == "" {
		return c.usageError("-platform is required")
	}
	if *wait > 0 && len(admins.list()) == 0 {
		return c.usageError("-wait requires the addresses of the VMs, -admin")
	}
	files, err := confapply.ReadFolder(rest[0])
	if err != nil {
		return c.fail(err)
	}
	store := platform.New(*address, platformTimeout)
	defer store.Close()
	result, err := confapply.Run(store, confapply.Change{Files: files, Base: *base, Limit: *limit})
	if err != nil {
		return c.fail(err)
	}
	return c.reportAccepted(applyResult{Result: result}, *base, *wait, admins)
}

// reportAccepted waits until the version is in force, if wait is positive, and
// prints the result. It returns exitFailed if a VM is missing when wait is over.
func (c *invocation) reportAccepted(a applyResult, base int64, wait time.Duration, admins *adminFlags) int {
	if wait > 0 {
		token, err := admins.token()
		if err != nil {
			return c.fail(err)
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

// waitInForce polls the VMs until all have the version, or a later one, in force
// or limit has passed. inForce holds VM IDs, missing holds admin addresses.
func waitInForce(addresses []string, token string, version int64, limit time.Duration) (inForce, missing []string) {
	end := time.Now().Add(limit)
	missing = slices.Clone(addresses)
	for {
		missing = slices.DeleteFunc(missing, func(address string) bool {
			s, err := getStatus(address, token)
			if err != nil || s.Configuration < version {
				return false
			}
			inForce = append(inForce, s.VM)
			return true
		})
		if len(missing) == 0 || time.Now().After(end) {
			return inForce, missing
		}
		time.Sleep(pollInterval)
	}
}

// fetchResult is the output of fetch.
type fetchResult struct {
	Version int64 `json:"version"`
	Files   int   `json:"files"`
}

// fetch writes the files of an accepted version into a folder.
func fetch(args []string) int {
	c := newInvocation("fetch", "fetch -platform IP:PORT [-version N] [-json] DIR")
	address := c.String("platform", "", "address of the platform, IP:PORT")
	version := c.Int64("version", 0, "version to fetch; 0 for the newest")
	rest, code := c.parse(args, 1)
	if code >= 0 {
		return code
	}
	if *address == "" {
		return c.usageError("-platform is required")
	}
	store := platform.New(*address, platformTimeout)
	defer store.Close()
	files, err := readVersion(store, version)
	if err != nil {
		return c.fail(err)
	}
	if err := confapply.WriteFolder(rest[0], files); err != nil {
		return c.fail(err)
	}
	return c.done(fetchResult{*version, len(files)}, "version %d: %d files", *version, len(files))
}

// readVersion reads the files of *version. If *version is 0, it is first set to
// the newest version.
func readVersion(store *platform.Client, version *int64) ([]configuration.File, error) {
	if *version == 0 {
		head, err := confapply.ReadHead(store)
		if err != nil {
			return nil, err
		}
		if head.Version == 0 {
			return nil, errcode.New(errcode.NotReady, "no configuration has been applied yet")
		}
		*version = head.Version
	}
	return confapply.ReadFiles(store, *version)
}
