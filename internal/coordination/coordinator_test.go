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
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
	"cornelsaddle.example/cornelsaddle/internal/peer"
)

// vm is one entry VM's part of the coordination.
type vm struct {
	*Coordinator
	name   string
	server *peer.Server
	client *peer.Client
}

const key = "a key of the tests"

// startVMs runs VMs that know each other, before plain endpoints with two slots
// each.
func startVMs(t *testing.T, names []string, endpoints int) map[string]*vm {
	t.Helper()
	log, err := event.New(io.Discard, "json", "info", "vm")
	require.NoError(t, err)
	vms := make(map[string]*vm)
	live := make([]Member, 0, 3)
	for i, name := range names {
		v := &vm{name: name}
		cfg := peer.Config{Self: peer.Identity{VM: name, Incarnation: int64(i + 1)}, Keys: []string{key}}
		mux := peer.NewMux()
		registry := metrics.NewRegistry()
		v.client, err = peer.NewClient(cfg, mux, log, registry)
		require.NoError(t, err)
		local := NewLocal(dispatch.DefaultConfig())
		v.Coordinator = New(name, local, v.client, mux, log)
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

func someJob(id string, owner *vm) dispatch.Job {
	now := time.Now()
	return dispatch.Job{
		ID: id, Owner: owner.name, Service: "s", Arrived: now, Due: now.Add(time.Second), Deadline: now.Add(6 * time.Second),
	}
}

func (v *vm) place(t *testing.T, id string) gateway.Placed {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	p, err := v.Place(ctx, someJob(id, v))
	require.NoError(t, err)
	require.Equal(t, id, p.Job)
	return p
}

// placeLater places a job that may have to wait.
func (v *vm) placeLater(id string) <-chan gateway.Placed {
	done := make(chan gateway.Placed, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		if p, err := v.Place(ctx, someJob(id, v)); err == nil {
			done <- p
		}
	}()
	return done
}

// counts is what a VM's dispatcher knows.
func (v *vm) counts() (waiting, placed int) { return v.local.Waiting(), v.local.Placed() }

// holderOf is the VM that holds the service, as a VM sees it.
func holderOf(vms map[string]*vm) *vm {
	for _, v := range vms {
		return vms[v.holder("s").VM]
	}
	return nil
}

// other is a VM that is not the given ones.
func other(vms map[string]*vm, not ...*vm) *vm {
	for _, name := range []string{"a", "b", "c"} {
		v, taken := vms[name], false
		for _, n := range not {
			taken = taken || n == v
		}
		if v != nil && !taken {
			return v
		}
	}
	return nil
}

// TestAllAskOneHolder spreads the requests of three VMs over the endpoints
// without two in one place.
func TestAllAskOneHolder(t *testing.T) {
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

// TestQueuedJobIsGranted lets a job of another VM wait at the holder for a slot.
func TestQueuedJobIsGranted(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	asking := other(vms, holder)
	holder.place(t, "1")
	holder.place(t, "2")
	done := asking.placeLater("3")
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	holder.Finished("1", dispatch.Served, "")
	p := <-done
	require.Equal(t, holder.name, p.Holder)
}

// TestLostAnswerIsGivenAgain asks a holder twice about one job, as a VM does that
// did not get the first answer: it gets the same place.
func TestLostAnswerIsGivenAgain(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	holder := holderOf(vms)
	asking := other(vms, holder)
	j := someJob("1", asking)
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	m, _ := asking.holders.member(holder.name)
	first, err := asking.submit(ctx, m, j)
	require.NoError(t, err)
	require.True(t, first.decided())
	second, err := asking.submit(ctx, m, j)
	require.NoError(t, err)
	require.Equal(t, first, second)
	_, placed := holder.counts()
	require.Equal(t, 1, placed)
}

// TestAbandonedJobLeavesTheQueue ends a wait with its caller.
func TestAbandonedJobLeavesTheQueue(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	asking := other(vms, holder)
	holder.place(t, "1")
	holder.place(t, "2")
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := asking.Place(ctx, someJob("3", asking))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 0 }, 5*time.Second, time.Millisecond)
}

// TestHolderDies lets all VMs turn to the same next holder, which learns of what
// is in flight.
func TestHolderDies(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	dead := holderOf(vms)
	one := other(vms, dead)
	two := other(vms, dead, one)
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
		[]*vm{one, two}[i%2].Finished(id, dispatch.Served, "")
	}
	require.Eventually(t, func() bool { _, placed := next.counts(); return placed == 0 }, 5*time.Second, time.Millisecond)
}

// TestVMThatIsGone loses its jobs at the holder, also when it has started anew.
func TestVMThatIsGone(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	holder := holderOf(vms)
	leaving := other(vms, holder)
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

// TestAlone places by its own view where there is nobody else.
func TestAlone(t *testing.T) {
	vms := startVMs(t, []string{"a"}, 1)
	require.Equal(t, "a", vms["a"].place(t, "1").Holder)
	vms["a"].Finished("1", dispatch.Served, "")
	_, placed := vms["a"].counts()
	require.Zero(t, placed)
}

// TestRefusalReachesItsVM carries a refusal to the VM that asked.
func TestRefusalReachesItsVM(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 0)
	asking := other(vms, holderOf(vms))
	j := someJob("1", asking)
	j.Deadline = j.Arrived.Add(90 * time.Millisecond)
	_, err := asking.Place(context.Background(), j)
	var refused *gateway.RefusedError
	require.ErrorAs(t, err, &refused)
	require.Equal(t, dispatch.ReasonNoEndpoint, refused.Reason)
	require.Positive(t, refused.RetryAfter)
}

// TestMessagesKeepTheJob encodes a job and a decision for another VM and back.
func TestMessagesKeepTheJob(t *testing.T) {
	now := time.Unix(1000, 0)
	j := dispatch.Job{
		ID: "1", Owner: "a", Term: 5, Service: "s", Organisation: "o", Arrived: now.Add(-time.Second), Due: now.Add(time.Second),
		Deadline: now.Add(2 * time.Second), FirstBy: now.Add(1500 * time.Millisecond), Gap: time.Millisecond, Priority: 2, Prompt: 3, Answer: 4, Avoid: []string{"e"},
	}
	require.Equal(t, j, encodeJob(now, j).job(now, "a"))
	d := dispatch.Decision{Placement: &dispatch.Placement{Job: "1", Endpoint: "e", Helpers: []string{"f"}, Shares: []int{7}, Predicted: time.Second}}
	require.Equal(t, d, encodeDecision(d).decision())
	r := dispatch.Decision{Refusal: &dispatch.Refusal{Job: "1", Reason: dispatch.ReasonTooLate, RetryAfter: time.Second}}
	require.Equal(t, r, encodeDecision(r).decision())
}

// announce tells all VMs of the members, of which the given ones leave.
func announce(vms map[string]*vm, leaving ...*vm) {
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

// A VM that stops still has requests at endpoints, whose slots are not free.
func TestJobsOfALeavingVMAreCountedUntilTheyEnd(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	leaving := other(vms, holder)
	leaving.place(t, "1")
	announce(vms, leaving)
	require.Equal(t, holder.name, leaving.place(t, "2").Holder)
	_, placed := holder.counts()
	require.Equal(t, 2, placed)
	leaving.Finished("1", dispatch.Served, "")
	require.Eventually(t, func() bool { _, placed := holder.counts(); return placed == 1 }, 5*time.Second, time.Millisecond)
}

// A holder that stops hands over what it and the others have in flight, and asks
// the next holder like them.
func TestLeavingHolderHandsOverAndAsksTheNext(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	leaving := holderOf(vms)
	one := other(vms, leaving)
	leaving.place(t, "1")
	one.place(t, "2")
	announce(vms, leaving)
	next := vms[one.holder("s").VM]
	require.NotEqual(t, leaving, next)
	require.Equal(t, next.name, leaving.place(t, "3").Holder)
	require.Eventually(t, func() bool { _, placed := next.counts(); return placed == 3 }, 5*time.Second, time.Millisecond)
}

// A request that waits at the holder while its VM stops still gets its place.
func TestQueuedJobOfALeavingVMIsGranted(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 1)
	holder := holderOf(vms)
	leaving := other(vms, holder)
	holder.place(t, "1")
	holder.place(t, "2")
	done := leaving.placeLater("3")
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 1 }, 5*time.Second, time.Millisecond)
	announce(vms, leaving)
	waiting, _ := holder.counts()
	require.Equal(t, 1, waiting)
	holder.Finished("1", dispatch.Served, "")
	require.Equal(t, "e0", (<-done).Endpoint)
}

// Where all VMs stop, their requests are still placed with one view.
func TestAllVMsLeave(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 3)
	announce(vms, vms["a"], vms["b"], vms["c"])
	holder := vms["a"].place(t, "1").Holder
	require.Equal(t, holder, vms["b"].place(t, "2").Holder)
	require.Equal(t, holder, vms["c"].place(t, "3").Holder)
}
