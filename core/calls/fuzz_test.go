package calls

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// naiveCall is a baseline that sends before it records.
type naiveCall struct {
	request Request
	sent    Result
}

func newNaiveCall(_ *simulation, r Request) eventHandler { return &naiveCall{request: r} }

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

// optimisticCall is a baseline that records first, but treats a claim of unknown
// outcome as applied.
type optimisticCall struct{ *Call }

func newOptimisticCall(s *simulation, r Request) eventHandler {
	return &optimisticCall{newRealCall(s, r).(*Call)}
}

func (n *optimisticCall) Handle(now time.Time, ev Event) ([]Action, error) {
	if wr, ok := ev.(Written); ok && wr.Outcome == WriteUnknown && n.State() == "claiming" {
		ev = Written{Outcome: WriteApplied}
	}
	return n.Call.Handle(now, ev)
}

// runSimulation runs a simulation with drawn steps and returns the first
// violation found, if any.
func runSimulation(t *rapid.T, build func(*simulation, Request) eventHandler) (*simulation, string) {
	s := newSimulation(build)
	s.start("100")
	steps := rapid.IntRange(10, 120).Draw(t, "steps")
	for range steps {
		s.drawStep(t)
		if reason := s.violation(); reason != "" {
			return s, reason
		}
	}
	return s, ""
}

func (s *simulation) drawStep(t *rapid.T) {
	switch kind := rapid.IntRange(0, 19).Draw(t, "kind"); {
	case kind == 0 && len(s.attempts) < 6:
		s.start("100")
	case kind == 1 && len(s.attempts) < 6:
		s.start("another body")
	case kind == 2:
		s.unavailable = !s.unavailable
	case kind == 3:
		s.now = s.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
	case kind == 4 && len(s.delayed) > 0:
		s.deliverDelayed(rapid.IntRange(0, len(s.delayed)-1).Draw(t, "delayed"))
	case kind == 5:
		s.attempts[rapid.IntRange(0, len(s.attempts)-1).Draw(t, "killed")].killed = true
	default:
		s.stepDrawnAttempt(t)
	}
}

func (s *simulation) stepDrawnAttempt(t *rapid.T) {
	at := s.attempts[rapid.IntRange(0, len(s.attempts)-1).Draw(t, "attempt")]
	if !at.runnable() {
		return
	}
	f := faultNone
	if rapid.IntRange(0, 2).Draw(t, "faulty") == 0 {
		f = fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
	}
	if err := s.step(at, f); err != nil {
		t.Fatalf("%v", err)
	}
}

// finish runs every attempt that was not killed to its end without further
// faults.
func (s *simulation) finish(t *rapid.T) {
	s.unavailable = false
	for _, at := range s.attempts {
		for i := 0; at.runnable(); i++ {
			if i > 200 {
				t.Fatalf("%s does not terminate", at.id)
			}
			if err := s.step(at, faultNone); err != nil {
				t.Fatalf("%v", err)
			}
		}
	}
}

// TestAtMostOnce checks properties P4 and P5 on the state machine: attempts with
// the same key on several VMs, some killed at arbitrary steps, while writes to
// the table are lost, delayed or refused.
func TestAtMostOnce(t *testing.T) {
	replies := make(map[string]int)
	rapid.Check(t, func(t *rapid.T) {
		s, reason := runSimulation(t, newRealCall)
		if reason != "" {
			t.Fatalf("%s", reason)
		}
		s.finish(t)
		for len(s.delayed) > 0 {
			s.deliverDelayed(0)
		}
		if reason := s.violation(); reason != "" {
			t.Fatalf("after the remaining attempts and delayed writes: %s", reason)
		}
		s.checkReplies(t, replies)
	})
	for _, want := range []string{"answer", string(errcode.CallOutcomeUnknown), string(errcode.KeyReused), string(errcode.StoreUnavailable), string(errcode.CallInProgress), string(errcode.EndpointFailed)} {
		require.Positive(t, replies[want], "no reply of this kind: %s", want)
	}
}

// checkReplies checks that every attempt that was not killed has replied, and
// that a repeat of the key one hour later gets a correct reply.
func (s *simulation) checkReplies(t *rapid.T, replies map[string]int) {
	for _, at := range s.attempts {
		switch {
		case at.killed && at.reply == nil:
			continue
		case at.reply == nil:
			t.Fatalf("%s has no reply", at.id)
		case at.reply.Err != nil:
			replies[string(at.reply.Err.Code)]++
		default:
			replies["answer"]++
		}
	}
	s.now = s.now.Add(time.Hour)
	s.start("100")
	s.finish(t)
	if reason := s.violation(); reason != "" {
		t.Fatalf("repeat after one hour: %s", reason)
	}
}

// TestOracleCatchesNaive checks that the oracle of TestAtMostOnce detects the
// faults of the baselines.
func TestOracleCatchesNaive(t *testing.T) {
	for name, build := range map[string]func(*simulation, Request) eventHandler{"send before record": newNaiveCall, "unknown outcome treated as applied": newOptimisticCall} {
		t.Run(name, func(t *testing.T) {
			found, runs := 0, 0
			rapid.Check(t, func(t *rapid.T) {
				runs++
				if _, reason := runSimulation(t, build); reason != "" {
					found++
				}
			})
			require.Positive(t, found)
			t.Logf("detected in %d of %d runs", found, runs)
		})
	}
}

// TestWaitsEndAtCallersDeadline checks that nothing delays the reply past the
// caller's deadline: writes before the reply time out at the deadline, and if the
// service has used up the time, the first write of the result gets none. Later
// writes run in the background with the full timeout.
func TestWaitsEndAtCallersDeadline(t *testing.T) {
	s := newSimulation(newRealCall)
	s.start("100")
	c := s.attempts[0].call
	handle := func(ev Event) []Action {
		actions, err := c.Handle(s.now, ev)
		require.NoError(t, err)
		return actions
	}
	s.now = s.now.Add(9500 * time.Millisecond)
	claim := handle(Started{})[0].(Write)
	require.Equal(t, 500*time.Millisecond, claim.Within)
	s.now = s.now.Add(100 * time.Millisecond)
	send := handle(Written{Outcome: WriteApplied, Result: s.table.apply(claim.Txn)})[0].(Send)
	require.Equal(t, 400*time.Millisecond, send.Within)
	s.now = s.now.Add(send.Within)
	record := handle(Sent{Outcome: SendUnknown})[0].(Write)
	require.Zero(t, record.Within)
	actions := handle(Written{Outcome: WriteRefused})
	require.Equal(t, errcode.RanUnknown, actions[0].(Answer).Reply.Err.Ran)
	require.IsType(t, Wait{}, actions[1])
	require.Equal(t, DefaultConfig().WriteTimeout, handle(TimerFired{})[0].(Write).Within)
}
