package coordination

import (
	"context"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/dispatch"
	"cornelsaddle.example/cornelsaddle/core/quarantine"
	"cornelsaddle.example/cornelsaddle/internal/gateway"
)

const crashingPart = "p"

// collectVerdicts makes the VMs pass their verdicts to each other, and returns those of
// each VM.
func collectVerdicts(vms map[string]*testVM) map[string]chan quarantine.Verdict {
	out := make(map[string]chan quarantine.Verdict)
	for name, v := range vms {
		verdicts := make(chan quarantine.Verdict, 16)
		out[name] = verdicts
		v.announce = func(verdict quarantine.Verdict) {
			verdicts <- verdict
			for _, other := range vms {
				other.ApplyVerdict(verdict)
			}
		}
	}
	return out
}

// crashes places a prompt with the crashing part at the VM, and ends it as its endpoint
// does when it crashes.
func (v *testVM) crashes(t *testing.T, id string) {
	t.Helper()
	v.ended(t, id, dispatch.End{Outcome: dispatch.Failed, BrokenOff: true}, crashingPart, "own"+id)
}

func (v *testVM) ended(t *testing.T, id string, end dispatch.End, parts ...string) {
	t.Helper()
	j := newJob(id, v)
	j.Parts = parts
	_, err := v.Place(context.Background(), j)
	require.NoError(t, err)
	v.Finished(id, end)
	time.Sleep(quarantine.DefaultConfig().Moment)
}

// crashUntilFound lets prompts of the VMs with the crashing part crash their endpoints
// until there is a verdict on it. On a busy machine reports of two crashes may come
// together and count as one, so that more crashes are needed.
func crashUntilFound(t *testing.T, verdicts <-chan quarantine.Verdict, vms ...*testVM) quarantine.Verdict {
	t.Helper()
	return repeatUntilFound(t, verdicts, vms, func(v *testVM, id string) { v.crashes(t, id) })
}

// findRequest is like crashUntilFound, for one request to a plain service.
func findRequest(t *testing.T, verdicts <-chan quarantine.Verdict, vms ...*testVM) quarantine.Verdict {
	t.Helper()
	return repeatUntilFound(t, verdicts, vms, func(v *testVM, id string) { v.crashesRequest(t, id) })
}

func repeatUntilFound(t *testing.T, verdicts <-chan quarantine.Verdict, vms []*testVM, crash func(v *testVM, id string)) quarantine.Verdict {
	t.Helper()
	const maxCrashes = 50
	for i := range maxCrashes {
		crash(vms[i%len(vms)], "crash"+strconv.Itoa(i))
		select {
		case v := <-verdicts:
			return v
		default:
		}
	}
	t.Fatal("the cause is not found")
	return quarantine.Verdict{}
}

// loseHolder lets two VMs that are not the holder do something each, and then the holder be
// lost. It returns the new holder and one of the two VMs.
func loseHolder(t *testing.T, vms map[string]*testVM, do func(v *testVM, id string)) (holder, one *testVM) {
	t.Helper()
	dead := holderOf(vms)
	one = otherVM(vms, dead)
	two := otherVM(vms, dead, one)
	do(one, "1")
	do(two, "2")
	dead.client.Close()
	dead.server.Close()
	delete(vms, dead.name)
	one.place(t, "sound1")
	two.place(t, "sound2")
	return vms[one.holder("s").VM], one
}

// requireWithheld checks that all VMs refuse prompts with the crashing part, and no
// others, also those that don't ask before they submit them.
func requireWithheld(t *testing.T, vms map[string]*testVM) {
	t.Helper()
	for _, v := range vms {
		part, wait := v.Withheld("s", "", []string{"shared", crashingPart, "own"})
		require.Equal(t, quarantine.Subject{Part: crashingPart}, part)
		require.Positive(t, wait)
		part, _ = v.Withheld("s", "", []string{"shared", "own"})
		require.Empty(t, part)
		j := newJob("late", v)
		j.Parts = []string{crashingPart, "own"}
		_, err := v.Place(context.Background(), j)
		var refused *gateway.RefusedError
		require.ErrorAs(t, err, &refused)
		require.Equal(t, dispatch.ReasonWithheld, refused.Reason)
		require.Positive(t, refused.RetryAfter)
	}
}

// TestHolderFindsThePartOfAllVMs lets prompts of three VMs with one part crash their
// endpoints: only the holder of the service decides, and all VMs refuse the part.
func TestHolderFindsThePartOfAllVMs(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 6)
	verdicts := collectVerdicts(vms)
	holder := holderOf(vms)
	v := crashUntilFound(t, verdicts[holder.name], vms["a"], vms["b"], vms["c"])
	require.Equal(t, crashingPart, v.Subject.Part)
	require.True(t, v.Withheld)
	for name, v := range vms {
		require.Empty(t, verdicts[name], v.name)
	}
	requireWithheld(t, vms)
}

// TestOtherVMsDoNotDecide lets a VM that is not the holder see all the crashes, but not
// the answers to other VMs' prompts with the part.
func TestOtherVMsDoNotDecide(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 6)
	verdicts := collectVerdicts(vms)
	holder := holderOf(vms)
	other := otherVM(vms, holder)
	for i := range 6 {
		other.crashes(t, strconv.Itoa(i))
		j := newJob("sound"+strconv.Itoa(i), holder)
		j.Parts = []string{crashingPart, "own"}
		_, err := holder.Place(context.Background(), j)
		require.NoError(t, err)
		holder.Began(j.ID)
		holder.Finished(j.ID, dispatch.End{Outcome: dispatch.Served})
	}
	for name, v := range vms {
		require.Empty(t, verdicts[name])
		part, _ := v.Withheld("s", "", []string{crashingPart, "own"})
		require.Empty(t, part)
	}
}

// TestNewHolderKnowsTheCrashes changes the holder after two crashes, which the new one
// gets from the VMs that saw them.
func TestNewHolderKnowsTheCrashes(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 6)
	verdicts := collectVerdicts(vms)
	holder, one := loseHolder(t, vms, func(v *testVM, id string) { v.crashes(t, id) })
	require.Eventually(t, func() bool { return len(holder.local.crashes("s")) == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, crashingPart, crashUntilFound(t, verdicts[holder.name], one).Subject.Part)
	requireWithheld(t, vms)
}

// TestVerdictRefusesQueuedJobs decides on a part while prompts with it, of two VMs, wait
// for an endpoint.
func TestVerdictRefusesQueuedJobs(t *testing.T) {
	vms := startVMs(t, []string{"a", "b"}, 1)
	holder := holderOf(vms)
	holder.place(t, "1")
	holder.place(t, "2")
	results := make(chan error, 2)
	for _, v := range vms {
		j := newJob("queued", v)
		j.Parts = []string{crashingPart, "own"}
		go func() {
			_, err := v.Place(context.Background(), j)
			results <- err
		}()
	}
	require.Eventually(t, func() bool { waiting, _ := holder.counts(); return waiting == 2 }, 5*time.Second, time.Millisecond)
	holder.handleFindings([]quarantine.Finding{{Service: "s", Subject: quarantine.Subject{Part: crashingPart}}})
	for range 2 {
		var refused *gateway.RefusedError
		require.ErrorAs(t, <-results, &refused)
		require.Equal(t, dispatch.ReasonWithheld, refused.Reason)
	}
}

const crashingDigest = "0123456789abcdef"

// crashesRequest runs a request to a plain service at the VM, alone at its endpoint, which
// crashes.
func (v *testVM) crashesRequest(t *testing.T, id string) {
	t.Helper()
	v.place(t, id)
	time.Sleep(quarantine.DefaultConfig().MinRun)
	v.Finished(id, dispatch.End{Outcome: dispatch.Failed, BrokenOff: true, Digest: crashingDigest})
	time.Sleep(quarantine.DefaultConfig().Moment)
}

// TestHolderFindsTheRequestOfAllVMs lets a request crash an endpoint at each of three VMs:
// the holder decides, and all VMs refuse the request, and no other one.
func TestHolderFindsTheRequestOfAllVMs(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 6)
	verdicts := collectVerdicts(vms)
	holder := holderOf(vms)
	v := findRequest(t, verdicts[holder.name], vms["a"], vms["b"], vms["c"])
	require.Equal(t, quarantine.Subject{Digest: crashingDigest}, v.Subject)
	for _, vm := range vms {
		subject, wait := vm.Withheld("s", crashingDigest, nil)
		require.Equal(t, v.Subject, subject)
		require.Positive(t, wait)
		subject, _ = vm.Withheld("s", "another", nil)
		require.Equal(t, quarantine.Subject{}, subject)
	}
}

// TestAnswerAtAnotherVMClearsTheRequest answers the request at a VM that is not the holder,
// between its crashes: the holder has asked for its digest.
func TestAnswerAtAnotherVMClearsTheRequest(t *testing.T) {
	vms := startVMs(t, []string{"a", "b"}, 6)
	verdicts := collectVerdicts(vms)
	holder := holderOf(vms)
	other := otherVM(vms, holder)
	for i := range 2 * quarantine.DefaultConfig().Crashes {
		other.crashesRequest(t, strconv.Itoa(i))
		if i%2 == 1 {
			id := "answered" + strconv.Itoa(i)
			other.place(t, id)
			other.Finished(id, dispatch.End{Outcome: dispatch.Served, Digest: crashingDigest})
			time.Sleep(quarantine.DefaultConfig().Moment)
		}
	}
	require.Empty(t, verdicts[holder.name])
}

// TestNewHolderKnowsTheCrashesOfARequest changes the holder after two crashes.
func TestNewHolderKnowsTheCrashesOfARequest(t *testing.T) {
	vms := startVMs(t, []string{"a", "b", "c"}, 6)
	verdicts := collectVerdicts(vms)
	holder, one := loseHolder(t, vms, func(v *testVM, id string) { v.crashesRequest(t, id) })
	require.Eventually(t, func() bool { return len(holder.local.crashes("s")) == 2 }, 5*time.Second, time.Millisecond)
	require.Equal(t, quarantine.Subject{Digest: crashingDigest}, findRequest(t, verdicts[holder.name], one).Subject)
}

// stopPolling keeps the VM's dispatcher from acting by itself: what is due is decided in the
// next call.
func (v *testVM) stopPolling() {
	v.local.mu.Lock()
	defer v.local.mu.Unlock()
	v.local.pollPending = true
	v.local.pollTimer.Stop()
}

// TestVerdictIsAnnouncedWithoutTheCallersLocks guards against a VM that hangs for good: a verdict
// falls due in a call that lists endpoints, whose caller holds locks, and the announcement to the
// other VMs needs one of them.
func TestVerdictIsAnnouncedWithoutTheCallersLocks(t *testing.T) {
	vms := startVMs(t, []string{"a"}, 6)
	v := vms["a"]
	var callersLock sync.Mutex
	announced := make(chan quarantine.Verdict, 1)
	v.announce = func(verdict quarantine.Verdict) {
		callersLock.Lock()
		defer callersLock.Unlock()
		announced <- verdict
	}
	v.stopPolling()
	cfg := quarantine.DefaultConfig()
	for i := range cfg.Crashes {
		v.crashes(t, "crash"+strconv.Itoa(i))
	}
	list := make([]dispatch.Endpoint, 0, 6)
	for n := range 6 {
		list = append(list, dispatch.Endpoint{ID: "e" + strconv.Itoa(n), Service: "s", Slots: 2})
	}
	listed := make(chan struct{})
	go func() {
		defer close(listed)
		callersLock.Lock()
		defer callersLock.Unlock()
		v.local.SetEndpoints(list)
	}()
	select {
	case <-listed:
	case <-time.After(5 * time.Second):
		t.Fatal("the call that lists endpoints hangs")
	}
	select {
	case verdict := <-announced:
		require.Equal(t, crashingPart, verdict.Subject.Part)
	case <-time.After(5 * time.Second):
		t.Fatal("the verdict is not announced")
	}
}

// TestEvidenceStaysTheSameOverHandOvers guards against planned stops that fill the memory and the
// processor of the VMs: with each change of the holder, all VMs send it what they know of crashes.
func TestEvidenceStaysTheSameOverHandOvers(t *testing.T) {
	names := []string{"a", "b", "c"}
	vms := startVMs(t, names, 6)
	for i, name := range names {
		// The crashes have no common cause, so that there is no verdict that explains them.
		end := dispatch.End{Outcome: dispatch.Failed, BrokenOff: true}
		vms[name].ended(t, "crash"+strconv.Itoa(i), end, "part"+strconv.Itoa(i), "own"+strconv.Itoa(i))
	}
	holder := holderOf(vms)
	suspects := func(v *testVM) int {
		n := 0
		for _, c := range v.local.crashes("s") {
			n += len(c.Suspects)
		}
		return n
	}
	require.Eventually(t, func() bool { return suspects(holder) >= len(names) }, 5*time.Second, time.Millisecond)
	const handOvers = 12
	for i := range handOvers {
		setLeaving(vms, vms[names[i%len(names)]], vms["a"], vms["b"], vms["c"])
		for _, v := range vms {
			v.awaitTransfer(context.Background(), v.holder("s"))
		}
	}
	for _, v := range vms {
		require.LessOrEqual(t, suspects(v), len(names), v.name)
	}
}
