// Command gateway is the gateway of the soak: it reaches each endpoint at the address of a link
// of its own, which it asks the soak for, so that the paths of one VM can be cut.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/directory"
	"cornelsaddle.example/cornelsaddle/internal/entry"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
	"cornelsaddle.example/cornelsaddle/platform"
)

const (
	linkTimeout = 2 * time.Second
	maxAddress  = 64
)

func main() {
	settings := flag.String("settings", "", "settings file")
	peers := flag.String("listen-peers", "", "address on which the other VMs are served")
	links := flag.String("links", "", "URL that gives the address of the VM's link to an endpoint")
	flag.Parse()
	if err := run(*settings, *peers, *links); err != nil {
		fmt.Fprintln(os.Stderr, "gateway:", err)
		os.Exit(1)
	}
}

// run runs a gateway until it receives SIGTERM.
func run(path, peers, links string) error {
	settings, err := platform.LoadSettings(path)
	if err != nil {
		return err //nolint:wrapcheck // it names the file
	}
	settings.PeersListen = peers
	out := event.NewBuffer(os.Stdout)
	defer out.Close()
	log, err := event.New(out, "json", "info", settings.VM)
	if err != nil {
		return errors.WithStack(err)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM)
	vm, err := entry.Start(settings, entry.Platform{
		Store: platform.NewStore(settings.Store), Decoder: linkedDocuments{links: links},
		Headers: platform.Headers{}, MemoryEncoder: platform.MemoryEncoder{},
	}, log, out.Dropped)
	if err != nil {
		return errors.WithStack(err)
	}
	<-signals
	vm.Stop()
	return nil
}

// linkedDocuments decodes the platform's documents, with the addresses of links for those of
// endpoints.
type linkedDocuments struct {
	platform.Documents
	links string
}

// Entry implements provider.Decoder.
func (d linkedDocuments) Entry(row provider.Row) (directory.Entry, error) {
	e, err := d.Documents.Entry(row)
	if err != nil {
		return e, errors.WithStack(err)
	}
	e.Address, err = d.link(e.Address)
	return e, err
}

// link returns the address of the VM's link to an endpoint.
func (d linkedDocuments) link(address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), linkTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.links+url.QueryEscape(address), nil)
	if err != nil {
		return "", errors.WithStack(err)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", errors.WithStack(err)
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAddress))
	return string(b), errors.WithStack(err)
}
