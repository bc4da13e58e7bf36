package calls

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// table is an in-memory transactional table.
type table struct {
	version int64
	rows    map[string]wire.Row
}

func (t *table) apply(txn wire.Txn) wire.TxnResult {
	var failed []wire.Row
	for _, c := range txn.Conditions {
		if row := t.rows[c.Key]; row.Version != c.Version {
			failed = append(failed, wire.Row{Key: c.Key, Version: row.Version, Value: row.Value})
		}
	}
	if failed != nil {
		return wire.TxnResult{Failed: failed}
	}
	t.version++
	for _, p := range txn.Puts {
		t.rows[p.Key] = wire.Row{Key: p.Key, Version: t.version, Value: p.Value}
	}
	return wire.TxnResult{Applied: true, Version: t.version}
}

// eventHandler is the interface of an attempt in the simulation. Call is the
// implementation under test, naiveCall and optimisticCall are the baselines.
type eventHandler interface {
	Handle(time.Time, Event) ([]Action, error)
}

// attempt is one attempt in one process of an entry VM.
type attempt struct {
	id      string
	call    eventHandler
	pending []Action
	next    Event
	killed  bool
	body    string
	reply   *Reply
	replies int
}

// simulation runs several attempts with one key, most of them with the same
// body, against one table and one service. The test chooses every step.
type simulation struct {
	now         time.Time
	table       table
	unavailable bool
	delayed     []wire.Txn
	effects     map[string]int
	attempts    []*attempt
	build       func(*simulation, Request) eventHandler
}

func newSimulation(build func(*simulation, Request) eventHandler) *simulation {
	return &simulation{
		now:     time.Unix(1_800_000_000, 0),
		table:   table{rows: make(map[string]wire.Row)},
		effects: make(map[string]int),
		build:   build,
	}
}

func newRealCall(_ *simulation, r Request) eventHandler {
	c, err := New(DefaultConfig(), r, rand.New(rand.NewPCG(1, uint64(len(r.Attempt)))))
	if err != nil {
		panic(err)
	}
	return c
}

const testKey = KeyPrefix + "k"

func (s *simulation) start(body string) {
	id := fmt.Sprintf("attempt-%d", len(s.attempts))
	s.attempts = append(s.attempts, &attempt{
		id:   id,
		body: body,
		next: Started{},
		call: s.build(s, Request{
			Key:      testKey,
			Digest:   RequestDigest("deposit", []byte(body)),
			Attempt:  id,
			VM:       id,
			Deadline: s.now.Add(10 * time.Second),
		}),
	})
}

// runnable reports whether the attempt has steps left.
func (at *attempt) runnable() bool { return !at.killed && (at.next != nil || len(at.pending) > 0) }

// fault is a network fault that affects one message.
type fault int

const (
	faultNone fault = iota
	faultResponseLost
	faultRequestLost
	faultDelayed
	faultRefused
	faultCount
)

// step performs the attempt's next step.
func (s *simulation) step(at *attempt, f fault) error {
	if len(at.pending) == 0 {
		actions, err := at.call.Handle(s.now, at.next)
		at.pending = actions
		at.next = nil
		return err
	}
	a := at.pending[0]
	at.pending = at.pending[1:]
	switch a := a.(type) {
	case Write:
		at.next = s.write(a.Txn, f)
	case Send:
		at.next = s.send(at, f)
	case Wait:
		s.now = s.now.Add(a.For)
		at.next = TimerFired{}
	case Answer:
		at.reply = &a.Reply
		at.replies++
	}
	return nil
}

func (s *simulation) write(txn wire.Txn, f fault) Event {
	if s.unavailable || f == faultRefused {
		return Written{Outcome: WriteRefused}
	}
	switch f {
	case faultRequestLost:
		return Written{Outcome: WriteUnknown}
	case faultDelayed:
		s.delayed = append(s.delayed, txn)
		return Written{Outcome: WriteUnknown}
	}
	result := s.table.apply(txn)
	switch {
	case f == faultResponseLost:
		return Written{Outcome: WriteUnknown}
	case result.Applied:
		return Written{Outcome: WriteApplied, Result: result}
	}
	return Written{Outcome: WriteFailed, Result: result}
}

func (s *simulation) send(at *attempt, f fault) Event {
	switch f {
	case faultRefused:
		return Sent{Outcome: SendNotRun}
	case faultRequestLost:
		return Sent{Outcome: SendUnknown}
	}
	s.effects[at.id]++
	if f != faultNone {
		return Sent{Outcome: SendUnknown}
	}
	return Sent{Outcome: SendAnswered, Result: Result{HTTPStatus: 200, Body: []byte(at.id)}}
}

// deliverDelayed applies the delayed write with the index i.
func (s *simulation) deliverDelayed(i int) {
	s.table.apply(s.delayed[i])
	s.delayed = append(s.delayed[:i], s.delayed[i+1:]...)
}

// violation returns a description of the property that is violated, or an empty
// string.
func (s *simulation) violation() string {
	total := 0
	executedBy := ""
	for id, n := range s.effects {
		total += n
		executedBy = id
	}
	if total > 1 {
		return fmt.Sprintf("executed %d times: %v", total, s.effects)
	}
	for _, at := range s.attempts {
		if reason := s.checkReply(at, total, executedBy); reason != "" {
			return at.id + ": " + reason
		}
	}
	return ""
}

// checkReply compares the attempt's reply with what was executed.
func (s *simulation) checkReply(at *attempt, total int, executedBy string) string {
	switch {
	case at.replies > 1:
		return "replied more than once"
	case at.reply == nil:
		return ""
	case at.reply.Result != nil && total != 1:
		return "replied with a result, but the call was not executed exactly once"
	case at.reply.Result != nil && string(at.reply.Result.Body) != executedBy:
		return "replied with the result of another attempt"
	case at.reply.Err != nil && at.reply.Err.Ran == errcode.RanNo && s.effects[at.id] > 0:
		return "replied that the call did not run, but this attempt executed it"
	case at.reply.Err != nil && at.reply.Err.Ran == errcode.RanYes && total != 1:
		return "replied that the call ran, but it was not executed exactly once"
	}
	return ""
}
