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
	togetherTimeout  = 20 * time.Second
	togetherInterval = 50 * time.Millisecond
)

// NotReadyError says that a VM did not become ready, or did not get to know the
// others, in time.
type NotReadyError struct{ Address string }

// Error implements error.
func (e *NotReadyError) Error() string {
	return "the VM at " + e.Address + " is not ready or does not know the others"
}

// waitTogether puts the VMs on the platform's list and waits until each is
// ready and knows the others.
func (s *system) waitTogether() error {
	list := make([]wire.VM, 0, len(s.nodes))
	for _, n := range s.nodes {
		st, err := status(n)
		if err != nil {
			return err
		}
		list = append(list, wire.VM{ID: st.VM, Peer: n.Peers(), FailureDomain: st.FailureDomain, State: wire.VMLive})
	}
	s.platform.SetVMs(list)
	limit := time.Now().Add(togetherTimeout)
	for _, n := range s.nodes {
		for !s.together(n) {
			if time.Now().After(limit) {
				return errors.WithStack(&NotReadyError{n.Admin()})
			}
			time.Sleep(togetherInterval)
		}
	}
	return nil
}

func (s *system) together(n *node.Node) bool {
	st, err := status(n)
	return err == nil && st.Ready && len(st.Peers) == len(s.nodes)-1
}

// status asks a VM for its status.
func status(n *node.Node) (node.Status, error) {
	var st node.Status
	req, err := http.NewRequest(http.MethodGet, "http://"+n.Admin()+"/status", nil)
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
