package demo

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/node"
)

const (
	readyTimeout      = 20 * time.Second
	readyPollInterval = 50 * time.Millisecond
)

// NotReadyError reports that the VM with the admin address did not become ready,
// or did not list all others as peers, in time.
type NotReadyError struct{ Address string }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "the VM at " + e.Address + " is not ready or does not list all other VMs as peers"
}

// waitReady registers the VMs in the platform's VM list and waits until each is
// ready and lists all others as peers. It returns a NotReadyError if that takes
// longer than readyTimeout.
func (s *system) waitReady() error {
	list := make([]wire.VM, 0, len(s.nodes))
	for _, n := range s.nodes {
		st, err := status(n)
		if err != nil {
			return err
		}
		list = append(list, wire.VM{ID: st.VM, Peer: n.PeersAddr(), FailureDomain: st.FailureDomain, State: wire.VMLive})
	}
	s.platform.SetVMs(list)
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !s.isReady(n) {
			if time.Now().After(deadline) {
				return errors.WithStack(&NotReadyError{n.AdminAddr()})
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (s *system) isReady(n *node.Node) bool {
	st, err := status(n)
	return err == nil && st.Ready && len(st.Peers) == len(s.nodes)-1
}

// status fetches the status of a VM from its admin listener.
func status(n *node.Node) (node.Status, error) {
	var st node.Status
	req, err := http.NewRequest(http.MethodGet, "http://"+n.AdminAddr()+"/status", nil)
	if err != nil {
		return st, errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+adminToken)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return st, errors.WithStack(err)
	}
	defer func() { _ = res.Body.Close() }()
	return st, errors.WithStack(json.NewDecoder(res.Body).Decode(&st))
}
