package calls

import (
	"fmt"
	"math/rand/v2"
	"time"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
)

// table is a transactional table in memory.
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

// caller is one attempt as the world sees it; Call is the real one, naiveCall
// the baseline.
type caller interface {
	Handle(time.Time, Event) ([]Action, error)
}

// process is one attempt in one process of an entry VM.
type process struct {
	id       string
	call     caller
	pending  []Action
	next     Event
	killed   bool
	body     string
	reply    *Reply
	repliers int
}

// world is several attempts, most with one key, over one table and one service.
// Every step is chosen by the test.
type world struct {
	now      time.Time
	table    table
	down     bool
	delayed  []wire.Txn
	effects  map[string]int
	attempts []*process
	build    func(*world, Request) caller
}

func newWorld(build func(*world, Request) caller) *world {
	return &world{
		now:     time.Unix(1_800_000_000, 0),
		table:   table{rows: make(map[string]wire.Row)},
		effects: make(map[string]int),
		build:   build,
	}
}

func realCall(_ *world, r Request) caller {
	c, err := New(DefaultConfig(), r, rand.New(rand.NewPCG(1, uint64(len(r.Attempt)))))
	if err != nil {
		panic(err)
	}
	return c
}

const worldKey = KeyPrefix + "k"

func (w *world) start(body string) {
	id := fmt.Sprintf("attempt-%d", len(w.attempts))
	w.attempts = append(w.attempts, &process{
		id:   id,
		body: body,
		next: Started{},
		call: w.build(w, Request{
			Key:      worldKey,
			Digest:   RequestDigest("deposit", []byte(body)),
			Attempt:  id,
			VM:       id,
			Deadline: w.now.Add(10 * time.Second),
		}),
	})
}

// live reports whether the attempt has a step left.
func (p *process) live() bool { return !p.killed && (p.next != nil || len(p.pending) > 0) }

// fate is what the network does to one message.
type fate int

const (
	fateFine fate = iota
	fateLostAnswer
	fateLostRequest
	fateDelayed
	fateRefused
	fates
)

// step makes the attempt's next step.
func (w *world) step(p *process, f fate) error {
	if len(p.pending) == 0 {
		actions, err := p.call.Handle(w.now, p.next)
		p.pending = actions
		p.next = nil
		return err
	}
	a := p.pending[0]
	p.pending = p.pending[1:]
	switch a := a.(type) {
	case Write:
		p.next = w.write(a.Txn, f)
	case Send:
		p.next = w.send(p, f)
	case Wait:
		w.now = w.now.Add(a.For)
		p.next = Woken{}
	case Answer:
		p.reply = &a.Reply
		p.repliers++
	}
	return nil
}

func (w *world) write(txn wire.Txn, f fate) Event {
	if w.down || f == fateRefused {
		return Written{Outcome: WriteRefused}
	}
	switch f {
	case fateLostRequest:
		return Written{Outcome: WriteUnknown}
	case fateDelayed:
		w.delayed = append(w.delayed, txn)
		return Written{Outcome: WriteUnknown}
	}
	result := w.table.apply(txn)
	switch {
	case f == fateLostAnswer:
		return Written{Outcome: WriteUnknown}
	case result.Applied:
		return Written{Outcome: WriteApplied, Result: result}
	}
	return Written{Outcome: WriteFailed, Result: result}
}

func (w *world) send(p *process, f fate) Event {
	switch f {
	case fateRefused:
		return Sent{Outcome: SendNotRun}
	case fateLostRequest:
		return Sent{Outcome: SendLost}
	}
	w.effects[p.id]++
	if f != fateFine {
		return Sent{Outcome: SendLost}
	}
	return Sent{Outcome: SendAnswered, Result: Result{HTTPStatus: 200, Body: []byte(p.id)}}
}

// arrive lets a delayed write reach the table.
func (w *world) arrive(i int) {
	w.table.apply(w.delayed[i])
	w.delayed = append(w.delayed[:i], w.delayed[i+1:]...)
}

// broken returns what is wrong with the world, or an empty string.
func (w *world) broken() string {
	total := 0
	ranBy := ""
	for id, n := range w.effects {
		total += n
		ranBy = id
	}
	if total > 1 {
		return fmt.Sprintf("ran %d times: %v", total, w.effects)
	}
	for _, p := range w.attempts {
		if reason := w.lie(p, total, ranBy); reason != "" {
			return p.id + ": " + reason
		}
	}
	return ""
}

// lie compares what the attempt's caller was told with what happened.
func (w *world) lie(p *process, total int, ranBy string) string {
	switch {
	case p.repliers > 1:
		return "was answered twice"
	case p.reply == nil:
		return ""
	case p.reply.Result != nil && total != 1:
		return "told yes, but nothing ran"
	case p.reply.Result != nil && string(p.reply.Result.Body) != ranBy:
		return "told another call's answer"
	case p.reply.Err != nil && p.reply.Err.Ran == errcode.RanNo && w.effects[p.id] > 0:
		return "told no, but its attempt ran"
	case p.reply.Err != nil && p.reply.Err.Ran == errcode.RanYes && total != 1:
		return "told that it ran, but nothing did"
	}
	return ""
}
