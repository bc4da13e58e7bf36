package gateway

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/directory"
)

// TestEvacuatedHelperIsCheckedBeforeTheFirstByte guards against a part of a long prompt that reaches a
// helper in an evacuated failure domain. The domain is evacuated between the placement and the first
// byte, as while the request waits for a connection or its VM is suspended.
func TestEvacuatedHelperIsCheckedBeforeTheFirstByte(t *testing.T) {
	w := newHarness(t, newEndpoint(t, respondWith("200 OK", ownHeader, "x")))
	w.directory.Put(directory.Entry{ID: "helper", Service: "s", Address: "127.0.0.1:1", Slots: 4, Domain: "d2"})
	x := &exchange{gateway: w.gateway, deadline: time.Now().Add(time.Minute)}
	x.helperAddresses = map[string]string{"helper": "127.0.0.1:1"}
	entry, availability := w.Lookup("e1")
	require.Equal(t, directory.Available, availability)
	check := x.checkBeforeSending(entry)
	require.NoError(t, check())
	w.mu.Lock()
	w.directory.SetEvacuated("d2", true)
	w.mu.Unlock()
	err := check()
	var unavailable *UnavailableError
	require.ErrorAs(t, err, &unavailable)
	require.Equal(t, UnavailableError{Endpoint: "helper", Availability: directory.Evacuated}, *unavailable)
	w.mu.Lock()
	w.directory.SetEvacuated("d2", false)
	w.mu.Unlock()
	require.NoError(t, check())
}
