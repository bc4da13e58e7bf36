package call

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/standin/service"
)

// deadAddress is one at which nobody listens.
func deadAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

func (r *testRun) add(id, address string) {
	r.snapshot.Endpoints[id] = configuration.Endpoint{Service: "ledger-desk", Address: address}
}

func TestIdempotentCallsGoOnElsewhere(t *testing.T) {
	run := newTestRun(t, 1)
	run.add("ledger-2", deadAddress(t))
	run.snapshot.Limits.RetryBudget = 1
	for range 20 {
		_, err := run.vms[0].Idempotent(run.request("r", "", "100"))
		require.NoError(t, err)
	}
}

// TestRetriesStayWithinTheBudget counts the attempts at a service that loses
// every answer.
func TestRetriesStayWithinTheBudget(t *testing.T) {
	const n = 50
	run := newTestRun(t, 1)
	second, err := service.Start("127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(second.Close)
	run.add("ledger-2", second.Addr())
	for _, s := range []*service.Server{run.service, second} {
		s.SetFaults(service.Faults{LoseAnswers: 1000})
	}
	for range n {
		_, err := run.vms[0].Idempotent(run.request("r", "", "100"))
		require.True(t, errcode.Is(err, errcode.EndpointFailed))
		require.Equal(t, errcode.RanUnknown, errcode.From(err).Ran)
	}
	attempts := len(run.service.Started()) + len(second.Started())
	require.LessOrEqual(t, attempts, n+1+int(run.snapshot.Limits.RetryBudget*n))
	require.Greater(t, attempts, n)
}

// TestOnceGoesOnAfterProof lets one attempt try another endpoint where the
// first proved that nothing ran.
func TestOnceGoesOnAfterProof(t *testing.T) {
	run := newTestRun(t, 1)
	run.add("ledger-2", deadAddress(t))
	run.add("ledger-3", deadAddress(t))
	for _, key := range []string{"a", "b", "c", "d", "e"} {
		_, err := run.vms[0].Once(run.request("r", key, "100"))
		require.NoError(t, err)
		require.Equal(t, 1, run.service.Effects()[key])
	}
}

func TestNothingIsSentAfterTheDeadline(t *testing.T) {
	run := newTestRun(t, 1)
	req := run.request("r", "k", "100")
	req.Deadline = time.Now().Add(-time.Second)
	_, err := run.vms[0].Once(req)
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	_, err = run.vms[0].Idempotent(req)
	require.Equal(t, errcode.RanNo, errcode.From(err).Ran)
	run.vms[0].Wait()
	require.Empty(t, run.service.Started())
}

// TestOwnEarlierProcessIsGone restarts a VM that ended between the row and the
// send: its new process knows that the old one has ended.
func TestOwnEarlierProcessIsGone(t *testing.T) {
	run := newTestRun(t, 2)
	killBefore(run.vms[0], 2)
	_, _ = run.vms[0].Once(run.request("r-1", "k", "100"))
	run.vms[1].vm = run.vms[0].vm
	_, err := run.vms[1].Once(run.request("r-2", "k", "100"))
	require.True(t, errcode.Is(err, errcode.CallOutcomeUnknown), "%v", err)
}

// leaving is a Health that knows one endpoint to leave.
type leaving string

func (l leaving) Leaving(endpoint string) bool { return string(l) == endpoint }

func TestLeavingEndpointsGetNoCalls(t *testing.T) {
	run := newTestRun(t, 1)
	run.vms[0].SetHealth(leaving("ledger-1"))
	_, err := run.vms[0].Once(run.request("r", "k", "100"))
	require.True(t, errcode.Is(err, errcode.NoEndpoint))
	_, err = run.vms[0].Idempotent(run.request("r", "", "100"))
	require.True(t, errcode.Is(err, errcode.NoEndpoint))
	require.Empty(t, run.service.Started())
}
