package calls

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// naiveCall sends, then records: the baseline that the oracle must catch.
type naiveCall struct {
	request Request
	sent    Result
}

func naive(_ *world, r Request) caller { return &naiveCall{request: r} }

func (n *naiveCall) Handle(_ time.Time, ev Event) ([]Action, error) {
	switch ev := ev.(type) {
	case Started:
		return []Action{Send{}}, nil
	case Sent:
		if ev.Outcome != SendAnswered {
			return []Action{Answer{Reply{Err: notRun()}}}, nil
		}
		n.sent = ev.Result
		row := Row{Attempt: n.request.Attempt, Status: StatusDone, Result: ev.Result}
		return []Action{Write{Txn: wire.Txn{Puts: []wire.Put{{Key: n.request.Key, Value: row.encode()}}}}}, nil
	case Written:
		return []Action{Answer{Reply{Result: &n.sent}}}, nil
	}
	return nil, nil
}

// optimist is a second baseline: it records first, but takes a lost answer to
// the record for a success.
type optimist struct{ *Call }

func optimistic(w *world, r Request) caller { return &optimist{realCall(w, r).(*Call)} }

func (n *optimist) Handle(now time.Time, ev Event) ([]Action, error) {
	if wr, ok := ev.(Written); ok && wr.Outcome == WriteUnknown && n.State() == "claiming" {
		ev = Written{Outcome: WriteApplied}
	}
	return n.Call.Handle(now, ev)
}

// drive runs a world by drawn steps and returns what broke.
func drive(t *rapid.T, build func(*world, Request) caller) (*world, string) {
	w := newWorld(build)
	w.start("100")
	steps := rapid.IntRange(10, 120).Draw(t, "steps")
	for range steps {
		w.drawStep(t)
		if reason := w.broken(); reason != "" {
			return w, reason
		}
	}
	return w, ""
}

func (w *world) drawStep(t *rapid.T) {
	switch kind := rapid.IntRange(0, 19).Draw(t, "kind"); {
	case kind == 0 && len(w.attempts) < 6:
		w.start("100")
	case kind == 1 && len(w.attempts) < 6:
		w.start("another body")
	case kind == 2:
		w.down = !w.down
	case kind == 3:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
	case kind == 4 && len(w.delayed) > 0:
		w.arrive(rapid.IntRange(0, len(w.delayed)-1).Draw(t, "delayed"))
	case kind == 5:
		w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(t, "killed")].killed = true
	default:
		w.drawMessage(t)
	}
}

func (w *world) drawMessage(t *rapid.T) {
	p := w.attempts[rapid.IntRange(0, len(w.attempts)-1).Draw(t, "attempt")]
	if !p.live() {
		return
	}
	f := fateFine
	if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
		f = fate(rapid.IntRange(0, int(fates)-1).Draw(t, "fate"))
	}
	if err := w.step(p, f); err != nil {
		t.Fatalf("%v", err)
	}
}

// settle lets every attempt that lives end without further faults.
func (w *world) settle(t *rapid.T) {
	w.down = false
	for _, p := range w.attempts {
		for i := 0; p.live(); i++ {
			if i > 200 {
				t.Fatalf("%s does not end", p.id)
			}
			if err := w.step(p, fateFine); err != nil {
				t.Fatalf("%v", err)
			}
		}
	}
}

// TestAtMostOnce is P4 and P5 over the decisions: attempts with one key on
// several VMs, killed at any step, the table losing and delaying writes.
func TestAtMostOnce(t *testing.T) {
	replies := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		w, reason := drive(t, realCall)
		if reason != "" {
			t.Fatalf("%s", reason)
		}
		w.settle(t)
		for len(w.delayed) > 0 {
			w.arrive(0)
		}
		if reason := w.broken(); reason != "" {
			t.Fatalf("after settling: %s", reason)
		}
		w.checkEnds(t, replies)
	})
	for _, want := range []string{"answer", string(errcode.CallOutcomeUnknown), string(errcode.KeyReused), string(errcode.StoreUnavailable), string(errcode.CallInProgress), string(errcode.EndpointFailed)} {
		require.Positive(t, replies[want], "never seen: %s", want)
	}
}

// checkEnds checks that every attempt that was not killed has its one reply,
// and that a late repeat of the key is told what happened.
func (w *world) checkEnds(t *rapid.T, replies map[string]int) {
	for _, p := range w.attempts {
		switch {
		case p.killed && p.reply == nil:
			continue
		case p.reply == nil:
			t.Fatalf("%s was never answered", p.id)
		case p.reply.Err != nil:
			replies[string(p.reply.Err.Code)]++
		default:
			replies["answer"]++
		}
	}
	w.now = w.now.Add(time.Hour)
	w.start("100")
	w.settle(t)
	if reason := w.broken(); reason != "" {
		t.Fatalf("late repeat: %s", reason)
	}
}

// TestOracleCatchesNaive shows that the oracle of TestAtMostOnce finds the
// faults of the baselines.
func TestOracleCatchesNaive(t *testing.T) {
	for name, build := range map[string]func(*world, Request) caller{"send then record": naive, "lost answer taken for applied": optimistic} {
		t.Run(name, func(t *testing.T) {
			found, runs := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				runs++
				if _, reason := drive(t, build); reason != "" {
					found++
				}
			})
			require.Positive(t, found)
			t.Logf("caught in %d of %d runs", found, runs)
		})
	}
}

// TestCallersDeadline checks that nothing is waited for past the caller's
// deadline: writes before the answer end with it, and a service that took all
// the time leaves none for the record.
func TestCallersDeadline(t *testing.T) {
	w := newWorld(realCall)
	w.start("100")
	c := w.attempts[0].call
	handle := func(ev Event) []Action {
		actions, err := c.Handle(w.now, ev)
		require.NoError(t, err)
		return actions
	}
	w.now = w.now.Add(9500 * time.Millisecond)
	claim := handle(Started{})[0].(Write)
	require.Equal(t, 500*time.Millisecond, claim.Within)
	w.now = w.now.Add(100 * time.Millisecond)
	send := handle(Written{Outcome: WriteApplied, Result: w.table.apply(claim.Txn)})[0].(Send)
	require.Equal(t, 400*time.Millisecond, send.Within)
	w.now = w.now.Add(send.Within)
	record := handle(Sent{Outcome: SendLost})[0].(Write)
	require.Zero(t, record.Within)
	actions := handle(Written{Outcome: WriteRefused})
	require.Equal(t, errcode.RanUnknown, actions[0].(Answer).Reply.Err.Ran)
	require.IsType(t, Wait{}, actions[1])
	require.Equal(t, DefaultConfig().WriteTimeout, handle(Woken{})[0].(Write).Within)
}
