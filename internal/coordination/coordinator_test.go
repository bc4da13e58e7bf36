package coordination

import (
	"context"
	"io"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// testVM is an entry VM with its coordinator, peer server and peer client.
type testVM struct {
	*Coordinator
	name   string
	server *peer.Server
	client *peer.Client
}

const testKey = "key for tests"

// startVMs starts VMs that are members of one cluster and share the given number of
// plain endpoints with two slots each.
func startVMs(t *testing.T, names []string, endpoints int) map[string]*testVM {
	return startVMsWith(t, names, endpoints, func(*dispatch.Config) {})
}

// startVMsWith is like startVMs with a configuration of their dispatchers.
func startVMsWith(t *testing.T, names []string, endpoints int, configure func(*dispatch.Config)) map[string]*testVM {
	t.Helper()
	dispatchConfig := dispatch.DefaultConfig()
	configure(&dispatchConfig)
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	vms := make(map[string]*testVM)
	live := make([]Member, 0, 3)
	for i, name := range names {
		v := &testVM{name: name}
		cfg := peer.Config{Self: peer.Identity{VM: name, Incarnation: int64(i + 1)}, Keys: []string{testKey}}
		mux := peer.NewMux()
		registry := metrics.NewRegistry()
		v.client, err = peer.NewClient(cfg, mux, log, registry)
		require.NoError(t, err)
		local := NewLocalDispatcher(dispatchConfig, quarantine.DefaultConfig())
		v.Coordinator = New(name, local, v.client, mux, log, func(quarantine.Verdict) {})
		v.server, err = peer.Listen("127.0.0.1:0", cfg, mux, log, registry)
		require.NoError(t, err)
		local.SetServices([]dispatch.Service{{Name: "s"}})
		list := make([]dispatch.Endpoint, 0, endpoints)
		for n := range endpoints {
			list = append(list, dispatch.Endpoint{ID: "e" + strconv.Itoa(n), Service: "s", Slots: 2})
		}
		local.SetEndpoints(list)
		vms[name] = v
		live = append(live, Member{VM: name, Address: v.server.Addr(), Incarnation: int64(i + 1)})
		t.Cleanup(func() {
			v.client.Close()
			v.server.Close()
		})
	}
	for _, v := range vms {
		v.SetMembers(live)
	}
	return vms
}

func newJob(id string, owner *testVM) dispatch.Job {
	now := time.Now()
	return dispatch.Job{
		ID: id, Owner: owner.name, Service: "s", Arrived: now, Due: now.Add(time.Second), Deadline: now.Add(6 * time.Second),
	}
}

func (v *testVM) place(t *testing.T, id string) gateway.Placed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	p, err := v.Place(ctx, newJob(id, v))
	require.NoError(t, err)
	require.Equal(t, id, p.Job)
	return p
}

// placeAsync places a job in the background, since it may be queued.
func (v *testVM) placeAsync(id string) <-chan gateway.Placed {
	done := make(chan gateway.Placed, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if p, err := v.Place(ctx, newJob(id, v)); err == nil {
			done <- p
		}
	}()
	return done
}

// counts returns the numbers of queued and placed jobs in the VM's dispatcher.
func (v *testVM) counts() (waiting, placed int) { return v.local.Waiting(), v.local.Placed() }

// holderOf returns the holder of the service, in the view of any one of the VMs.
func holderOf(vms map[string]*testVM) *testVM {
	for _, v := range vms {
		return vms[v.holder("s").VM]
	}
	return nil
}

// otherVM returns a VM that is not excluded.
func otherVM(vms map[string]*testVM, excluded ...*testVM) *testVM {
	for _, name := range []string{"a", "b", "c"} {
		v, skip := vms[name], false
		for _, n := range excluded {
			skip = skip || n == v
		}
		if v != nil && !skip {
			return v
		}
	}
	return nil
}

// TestAllVMsPlaceThroughOneHolder checks that requests of three VMs fill all
// endpoints evenly. VMs that placed by their own views would overload some.
func TestAllVMsPlaceThroughOneHolder(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	holder := holderOf(vms)
	seen := make(map[string]int)
	for i, name := range []string{"a", "b", "c", "a", "b", "c"} {
		p := vms[name].place(t, "j"+strconv.Itoa(i))
		require.Equal(t, holder.name, p.Holder)
		seen[p.Endpoint]++
	}
	require.Equal(t, map[string]int{"e0": 2, "e1": 2, "e2": 2}, seen)
	_, placed := holder.counts()
	require.Equal(t, 6, placed)
}

// TestQueuedJobIsGranted checks that a job of another VM that is queued at the
// holder is placed when a slot becomes free.
func TestQueuedJobIsGranted(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	requester := otherVM(vms, holder)
	holder.place(t, "1")
	holder.place(t, "2")
	done := requester.placeAsync("3")
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	holder.Finished("1", dispatch.End{Outcome: dispatch.Served})
	p := <-done
	require.Equal(t, holder.name, p.Holder)
}

// TestRepeatedSubmitReturnsSamePlacement submits a job twice, as a VM does that did
// not get the first response. The second call must not place the job again.
func TestRepeatedSubmitReturnsSamePlacement(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	holder := holderOf(vms)
	requester := otherVM(vms, holder)
	j := newJob("1", requester)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m, _ := requester.holders.member(holder.name)
	first, err := requester.submit(ctx, m, j)
	require.NoError(t, err)
	require.True(t, first.decided())
	second, err := requester.submit(ctx, m, j)
	require.NoError(t, err)
	require.Equal(t, first, second)
	_, placed := holder.counts()
	require.Equal(t, 1, placed)
}

// TestAbandonedJobLeavesQueue checks that a queued job is removed from the holder's
// queue when its caller gives up.
func TestAbandonedJobLeavesQueue(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	requester := otherVM(vms, holder)
	holder.place(t, "1")
	holder.place(t, "2")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := requester.Place(ctx, newJob("3", requester))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 0 }, 5*time.Second, time.Millisecond)
}

// TestHolderFailover checks that all VMs fail over to the same holder when theirs
// dies, and that the new holder receives the jobs in flight.
func TestHolderFailover(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	dead := holderOf(vms)
	one := otherVM(vms, dead)
	two := otherVM(vms, dead, one)
	one.place(t, "1")
	two.place(t, "2")
	dead.client.Close()
	dead.server.Close()
	p := one.place(t, "3")
	q := two.place(t, "4")
	require.Equal(t, p.Holder, q.Holder)
	require.NotEqual(t, dead.name, p.Holder)
	next := vms[p.Holder]
	require.Eventually(t, func() bool { _, placed := next.counts(); return placed == 4 }, 5*time.Second, time.Millisecond)
	for i, id := range []string{"1", "2", "3", "4"} {
		[]*testVM{one, two}[i%2].Finished(id, dispatch.End{Outcome: dispatch.Served})
	}
	require.Eventually(t, func() bool { _, placed := next.counts(); return placed == 0 }, 5*time.Second, time.Millisecond)
}

// TestRestartedVMLosesItsJobs checks that a holder drops the jobs of a VM's earlier
// incarnation, which would otherwise occupy slots.
func TestRestartedVMLosesItsJobs(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	holder := holderOf(vms)
	leaving := otherVM(vms, holder)
	leaving.place(t, "1")
	_, placed := holder.counts()
	require.Equal(t, 1, placed)
	live := make([]Member, 0, 3)
	for _, v := range vms {
		incarnation := int64(1)
		if v == leaving {
			incarnation = 99
		}
		live = append(live, Member{VM: v.name, Address: v.server.Addr(), Incarnation: incarnation})
	}
	holder.SetMembers(live)
	_, placed = holder.counts()
	require.Zero(t, placed)
}

// TestSingleVM checks that a VM without peers is its own holder.
func TestSingleVM(t *testing.T) {
	vms := startVMs(t, []string{"a"}, 1)
	require.Equal(t, "a", vms["a"].place(t, "1").Holder)
	vms["a"].Finished("1", dispatch.End{Outcome: dispatch.Served})
	_, placed := vms["a"].counts()
	require.Zero(t, placed)
}

// TestRefusalReturnedToRequestingVM checks that the requesting VM gets the holder's
// refusal, with its reason and retry time.
func TestRefusalReturnedToRequestingVM(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 0)
	requester := otherVM(vms, holderOf(vms))
	j := newJob("1", requester)
	j.Deadline = j.Arrived.Add(90 * time.Millisecond)
	_, err := requester.Place(context.Background(), j)
	var refused *gateway.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, dispatch.ReasonNoEndpoint, refused.Reason)
	require.Positive(t, refused.RetryAfter)
}

// TestMessageRoundTrip encodes and decodes a job, a placement and a refusal without
// loss.
func TestMessageRoundTrip(t *testing.T) {
	now := time.Unix(1000, 0)
	j := dispatch.Job{
		ID: "1", Owner: "a", Term: 5, Domain: "x", Service: "s", Organisation: "o", Arrived: now.Add(-time.Second), Due: now.Add(time.Second),
		Deadline: now.Add(2 * time.Second), FirstEventBy: now.Add(1500 * time.Millisecond), MaxGap: time.Millisecond, Priority: 2, PromptTokens: 3, AnswerTokens: 4, Avoid: []string{"e"}, Exclude: []string{"f"},
	}
	require.Equal(t, j, encodeJob(now, j).job(now, "a"))
	d := dispatch.Decision{Placement: &dispatch.Placement{Job: "1", Endpoint: "e", Helpers: []string{"f"}, Shares: []int{7}, Predicted: time.Second}}
	require.Equal(t, d, encodeDecision(d).decision())
	r := dispatch.Decision{Refusal: &dispatch.Refusal{Job: "1", Reason: dispatch.ReasonTooLate, RetryAfter: time.Second}}
	require.Equal(t, r, encodeDecision(r).decision())
}

// setMembers sets the members of all VMs, marking the given ones as leaving.
func setMembers(vms map[string]*testVM, leaving ...*testVM) {
	list := make([]Member, 0, len(vms))
	for i, name := range []string{"a", "b", "c"} {
		v := vms[name]
		list = append(list, Member{
			VM: name, Address: v.server.Addr(), Incarnation: int64(i + 1), Leaving: slices.Contains(leaving, v),
		})
	}
	for _, v := range vms {
		v.SetMembers(list)
	}
}

// The jobs of a leaving VM occupy their slots until they end. A holder that dropped
// them early would overload the endpoints.
func TestJobsOfLeavingVMCountUntilFinished(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	leaving := otherVM(vms, holder)
	leaving.place(t, "1")
	setMembers(vms, leaving)
	require.Equal(t, holder.name, leaving.place(t, "2").Holder)
	_, placed := holder.counts()
	require.Equal(t, 2, placed)
	leaving.Finished("1", dispatch.End{Outcome: dispatch.Served})
	require.Eventually(t, func() bool { _, placed := holder.counts(); return placed == 1 }, 5*time.Second, time.Millisecond)
}

// When the holder is leaving, the next holder must receive the jobs in flight of all
// VMs, and the leaving VM must submit its jobs there too.
func TestLeavingHolderTransfersJobs(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	leaving := holderOf(vms)
	one := otherVM(vms, leaving)
	leaving.place(t, "1")
	one.place(t, "2")
	setMembers(vms, leaving)
	next := vms[one.holder("s").VM]
	require.NotEqual(t, leaving, next)
	require.Equal(t, next.name, leaving.place(t, "3").Holder)
	require.Eventually(t, func() bool { _, placed := next.counts(); return placed == 3 }, 5*time.Second, time.Millisecond)
}

// A job that is queued at the holder while its VM is leaving must still be placed.
func TestQueuedJobOfLeavingVMIsGranted(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	leaving := otherVM(vms, holder)
	holder.place(t, "1")
	holder.place(t, "2")
	done := leaving.placeAsync("3")
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	setMembers(vms, leaving)
	waiting, _ := holder.counts()
	require.Equal(t, 1, waiting)
	holder.Finished("1", dispatch.End{Outcome: dispatch.Served})
	require.Equal(t, "e0", (<-done).Endpoint)
}

// While all VMs are leaving, they must still place their jobs through one holder.
func TestAllVMsLeaving(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	setMembers(vms, vms["a"], vms["b"], vms["c"])
	holder := vms["a"].place(t, "1").Holder
	require.Equal(t, holder, vms["b"].place(t, "2").Holder)
	require.Equal(t, holder, vms["c"].place(t, "3").Holder)
}

// TestUnusedGrantIsWithdrawn checks that a placement of an earlier holder that
// arrives while the current holder decides does not stay counted at the earlier one.
func TestUnusedGrantIsWithdrawn(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 2)
	holder := holderOf(vms)
	requester := otherVM(vms, holder)
	earlier := otherVM(vms, holder, requester)
	pending := &job{Job: newJob("1", requester), decisions: make(chan holderDecision, 1)}
	requester.jobs["1"] = pending
	granted := earlier.local.submitRemote(encodeJob(time.Now(), pending.Job), requester.name)
	require.True(t, granted.decided())
	require.True(t, requester.deliver(holderDecision{decision: granted.decision(), holder: earlier.name}))
	decided := holder.local.submitRemote(encodeJob(time.Now(), pending.Job), requester.name)
	_, err := requester.accept(pending, holderDecision{decision: decided.decision(), holder: holder.name})
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, placed := earlier.counts(); return placed == 0 }, 5*time.Second, time.Millisecond)
	_, placed := holder.counts()
	require.Equal(t, 1, placed)
}

// TestHolderKeepsJobsOfTwoOwnersWithOneID checks that a holder decides its own job
// although it was handed another VM's job with the same ID just before.
func TestHolderKeepsJobsOfTwoOwnersWithOneID(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 2)
	holder := holderOf(vms)
	other := otherVM(vms, holder)
	p := other.place(t, "1")
	holder.local.applyUpdate(other.name, jobUpdate{Job: "1", Adopted: &adoptedJob{
		Job: encodeJob(time.Now(), newJob("1", other)), Placement: encodeDecision(dispatch.Decision{Placement: &p.Placement}),
	}})
	holder.place(t, "1")
	_, placed := holder.counts()
	require.Equal(t, 2, placed)
}

// TestSilentVMsJobsAreCountedAgain lets a holder take a VM for dead that was only
// silent. When it is heard of again, its jobs in flight occupy their slots again.
func TestSilentVMsJobsAreCountedAgain(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	holder := holderOf(vms)
	silent := otherVM(vms, holder)
	silent.place(t, "1")
	silent.place(t, "2")
	silent.Began("1")
	others, all := make([]Member, 0, len(vms)), make([]Member, 0, len(vms))
	for name, v := range vms {
		v.mu.Lock()
		m, _ := v.holders.member(name)
		v.mu.Unlock()
		all = append(all, m)
		if v != silent {
			others = append(others, m)
		}
	}
	holder.SetMembers(others)
	_, placed := holder.counts()
	require.Zero(t, placed)
	holder.SetMembers(all)
	silent.Resend()
	require.Eventually(t, func() bool { _, placed := holder.counts(); return placed == 2 }, 5*time.Second, time.Millisecond)
	silent.Finished("1", dispatch.End{Outcome: dispatch.Served})
	silent.Finished("2", dispatch.End{Outcome: dispatch.Served})
	require.Eventually(t, func() bool { _, placed := holder.counts(); return placed == 0 }, 5*time.Second, time.Millisecond)
}
