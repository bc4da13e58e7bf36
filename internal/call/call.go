// Package call carries out calls to plain services. Those that may not be
// repeated are recorded in the platform's table before anything is sent.
package call

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/platform"
	"cornelsaddle.example/cornelsaddle/internal/settings"
)

const defaultRetention = 24 * time.Hour

// Request is one call.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Operation    string
	Key          string
	Body         []byte
	Deadline     time.Time
	Snapshot     *confsync.Snapshot
}

// Runner makes calls. It is safe for concurrent use.
type Runner struct {
	store       *platform.Client
	caller      *endpoint.Caller
	vm          string
	incarnation int64
}

// NewRunner returns a Runner for the VM of the settings.
func NewRunner(store *platform.Client, caller *endpoint.Caller, s settings.Settings) *Runner {
	return &Runner{store: store, caller: caller, vm: s.VM.ID, incarnation: time.Now().UnixNano()}
}

// Idempotent makes a call that may be repeated, at another endpoint if one
// fails.
func (r *Runner) Idempotent(req Request) (endpoint.Answer, error) {
	addresses := addresses(req)
	var last error = errcode.New(errcode.NoEndpoint, "service %s has no endpoint", req.Service)
	for _, address := range addresses {
		answer, err := r.caller.Do(req.at(address))
		if err == nil {
			return answer, nil
		}
		last = errcode.New(errcode.EndpointFailed, "%v", err)
	}
	return endpoint.Answer{}, last
}

// Once makes a call that may not be repeated.
func (r *Runner) Once(req Request) (endpoint.Answer, error) {
	key := calls.RowKey(req.Organisation, req.Service, req.Key)
	row := calls.Row{
		Attempt:     uuid.NewString(),
		VM:          r.vm,
		Incarnation: r.incarnation,
		BodyDigest:  calls.Digest(req.Body),
		Status:      calls.StatusStarted,
		ExpiresMs:   time.Now().Add(defaultRetention).UnixMilli(),
	}
	result, outcome, err := r.store.Apply(wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: wire.AbsentVersion}},
		Puts:       []wire.Put{{Key: key, Value: encode(row)}},
	})
	switch {
	case outcome == platform.OutcomeApplied:
		return r.send(req, key, result.Version, row)
	case outcome == platform.OutcomeNotApplied && err == nil:
		return replay(result.Failed, row)
	}
	return endpoint.Answer{}, errcode.New(errcode.StoreUnavailable, "the call could not be recorded").WithRetryAfter(time.Second)
}

// send makes the one attempt and records its result.
func (r *Runner) send(req Request, key string, version int64, row calls.Row) (endpoint.Answer, error) {
	list := addresses(req)
	if len(list) == 0 {
		return endpoint.Answer{}, errcode.New(errcode.NoEndpoint, "service %s has no endpoint", req.Service)
	}
	answer, err := r.caller.Do(req.at(list[0]))
	row.Status = status(err)
	row.HTTPStatus = answer.Status
	row.Body = answer.Body
	_, _, _ = r.store.Apply(wire.Txn{
		Conditions: []wire.Condition{{Key: key, Version: version}},
		Puts:       []wire.Put{{Key: key, Value: encode(row)}},
	})
	switch row.Status {
	case calls.StatusDone:
		return answer, nil
	case calls.StatusNotRun:
		return answer, errcode.New(errcode.EndpointFailed, "%v", err).WithRan(errcode.RanNo)
	}
	return answer, errcode.New(errcode.CallOutcomeUnknown, "%v", err)
}

func status(err error) calls.Status {
	var notSent *endpoint.NotSentError
	var refused *endpoint.RefusedError
	switch {
	case err == nil:
		return calls.StatusDone
	case errors.As(err, &notSent), errors.As(err, &refused):
		return calls.StatusNotRun
	}
	return calls.StatusUnknown
}

// replay answers a repeat of the key from the row that is there.
func replay(failed []wire.Row, mine calls.Row) (endpoint.Answer, error) {
	if len(failed) != 1 {
		return endpoint.Answer{}, errcode.New(errcode.Internal, "the table named no row")
	}
	var row calls.Row
	if err := json.Unmarshal(failed[0].Value, &row); err != nil {
		return endpoint.Answer{}, errors.WithStack(err)
	}
	if row.BodyDigest != mine.BodyDigest {
		return endpoint.Answer{}, errcode.New(errcode.KeyReused, "the key was used with another body")
	}
	switch row.Status {
	case calls.StatusDone:
		return endpoint.Answer{Status: row.HTTPStatus, Body: row.Body}, nil
	case calls.StatusNotRun:
		return endpoint.Answer{}, errcode.New(errcode.EndpointFailed, "the call did not run").WithRan(errcode.RanNo)
	case calls.StatusStarted:
		return endpoint.Answer{}, errcode.New(errcode.CallInProgress, "the call is in progress").WithRan(errcode.RanUnknown)
	}
	return endpoint.Answer{}, errcode.New(errcode.CallOutcomeUnknown, "the outcome of the call is not known")
}

func (r Request) at(address string) endpoint.Call {
	return endpoint.Call{
		Address:   address,
		Operation: r.Operation,
		Request:   r.ID,
		Key:       r.Key,
		Body:      r.Body,
		Timeout:   time.Until(r.Deadline),
	}
}

// addresses lists the service's endpoints in a random order.
func addresses(req Request) []string {
	var list []string
	for _, e := range req.Snapshot.Endpoints {
		if e.Service == req.Service && !e.Leaving {
			list = append(list, e.Address)
		}
	}
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list
}

func encode(row calls.Row) []byte {
	data, err := json.Marshal(row)
	if err != nil {
		panic(err)
	}
	return data
}
