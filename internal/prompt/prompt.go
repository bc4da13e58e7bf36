// Package prompt carries one prompt from admission to its end, over as many
// attempts as its deadline allows. The request chart decides; this package
// carries out its actions.
package prompt

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/placement"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/confsync"
	"cornelsaddle.example/cornelsaddle/internal/endpoint"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/fleet"
	"cornelsaddle.example/cornelsaddle/internal/metrics"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts   = 4
	cancelTimeout = time.Second
)

// The request chart's names.
const (
	evAdmitted    statechart.Event  = "admitted"
	evPlaced      statechart.Event  = "placed"
	evUnplaceable statechart.Event  = "unplaceable"
	evToken       statechart.Event  = "token"
	evEnd         statechart.Event  = "end"
	evFailed      statechart.Event  = "failed"
	evDeadline    statechart.Event  = "deadline"
	evCallerGone  statechart.Event  = "caller_gone"
	doPlace       statechart.Action = "place"
	doSend        statechart.Action = "send"
	doDeliver     statechart.Action = "deliver"
	doFail        statechart.Action = "fail"
	doCancel      statechart.Action = "cancel"
	doRetry       statechart.Action = "count_retry"
	mayRetry      statechart.Guard  = "may_retry"
)

// Request is one admitted prompt.
type Request struct {
	ID           string
	Organisation string
	Service      string
	Path         string
	Body         []byte
	Tokens       int64
	MaxTokens    int64
	Class        configuration.LengthClass
	Deadline     time.Time
	Snapshot     *confsync.Snapshot
}

// Sink takes the answer's tokens, in order and each once. An error means that
// the caller is gone.
type Sink interface {
	Deliver(index int64, data []byte) error
}

// Runner runs requests. It is safe for concurrent use.
type Runner struct {
	chart   *statechart.Chart
	fleet   *fleet.Fleet
	streams *endpoint.Client
	caller  *endpoint.Caller
	log     *event.Logger
	metrics *metrics.Metrics
}

// NewRunner returns a Runner.
func NewRunner(f *fleet.Fleet, streams *endpoint.Client, caller *endpoint.Caller, log *event.Logger, m *metrics.Metrics) *Runner {
	return &Runner{chart: statechart.MustLoad("request"), fleet: f, streams: streams, caller: caller, log: log, metrics: m}
}

// Run carries the request to its end. It returns nil when the whole answer was
// delivered, and a typed failure otherwise.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	x := &execution{Runner: r, req: req, sink: sink, tried: make(map[string]bool), start: time.Now()}
	machine, err := statechart.NewMachine(r.chart, statechart.Guards{mayRetry: x.mayRetry})
	if err != nil {
		return err
	}
	x.machine = machine
	return x.run(ctx)
}

// execution is the state of one request.
type execution struct {
	*Runner
	req     Request
	sink    Sink
	machine *statechart.Machine
	tried   map[string]bool
	start   time.Time

	attempt   int
	endpoint  string
	stream    *endpoint.Stream
	token     endpoint.Token
	delivered int64
	ran       bool
	cause     error
	failure   error
}

func (x *execution) run(ctx context.Context) error {
	ev := evAdmitted
	for {
		actions, err := x.machine.Fire(ev)
		if err != nil {
			return err
		}
		ev = ""
		for _, a := range actions {
			if next := x.do(ctx, a); next != "" {
				ev = next
			}
		}
		if x.machine.Done() {
			return x.end()
		}
		if ev == "" {
			ev = x.next(ctx)
		}
	}
}

func (x *execution) do(ctx context.Context, a statechart.Action) statechart.Event {
	switch a {
	case doPlace:
		return x.place(ctx)
	case doSend:
		return x.send(ctx)
	case doDeliver:
		return x.deliver()
	case doCancel:
		x.cancelAttempt()
	case doRetry:
		x.log.Emit(event.AttemptFailed{Request: x.req.ID, Attempt: x.attempt, Endpoint: x.endpoint, Reason: x.cause.Error()})
	case doFail:
		x.failure = x.classify(ctx)
	}
	return ""
}

// place chooses an endpoint that was not tried yet.
func (x *execution) place(ctx context.Context) statechart.Event {
	if ctx.Err() != nil {
		return x.interrupted(ctx)
	}
	service := x.req.Snapshot.Services[x.req.Service]
	views := x.fleet.Views(x.req.Snapshot, x.req.Service, x.tried)
	choice := placement.Pick(placement.Prompt{
		Tokens:      x.req.Tokens,
		MaxTokens:   x.req.MaxTokens,
		Priority:    x.priority(),
		DelayWeight: service.DelayWeight,
	}, views)
	if choice.Index < 0 {
		return evUnplaceable
	}
	x.endpoint = views[choice.Index].ID
	return evPlaced
}

func (x *execution) priority() wire.Priority {
	if x.req.Class.Low {
		return wire.PriorityLow
	}
	return wire.PriorityHigh
}

// send opens the attempt's stream.
func (x *execution) send(ctx context.Context) statechart.Event {
	x.attempt++
	x.tried[x.endpoint] = true
	x.fleet.Sent(x.endpoint, x.req.ID, x.req.Tokens, x.priority())
	stream, err := x.streams.Open(ctx, endpoint.Attempt{
		Address:  x.req.Snapshot.Endpoints[x.endpoint].Address,
		Path:     x.req.Path,
		Request:  x.req.ID,
		Number:   x.attempt,
		Priority: x.priority(),
		Body:     resumeBody(x.req.Body, x.delivered),
	})
	if err != nil {
		var refused *endpoint.RefusedError
		x.ran = x.ran || !errors.As(err, &refused)
		return x.failed(ctx, err)
	}
	x.ran = true
	x.stream = stream
	return ""
}

// next waits for the next event of the stream.
func (x *execution) next(ctx context.Context) statechart.Event {
	for {
		token, err := x.stream.Next()
		if errors.Is(err, io.EOF) {
			return evEnd
		}
		if err != nil {
			return x.failed(ctx, err)
		}
		if token.Index < x.delivered {
			continue
		}
		if token.Index > x.delivered {
			return x.failed(ctx, &endpoint.CutError{})
		}
		x.token = token
		return evToken
	}
}

func (x *execution) deliver() statechart.Event {
	if x.delivered == 0 {
		x.fleet.Started(x.endpoint, x.req.ID)
		x.metrics.FirstToken(x.req.Organisation, x.req.Class.Name, time.Since(x.start))
	}
	if err := x.sink.Deliver(x.delivered, x.token.Data); err != nil {
		return evCallerGone
	}
	x.delivered++
	return ""
}

// failed tells a failed attempt from a passed deadline and a vanished caller.
func (x *execution) failed(ctx context.Context, err error) statechart.Event {
	x.cause = err
	if ctx.Err() != nil {
		return x.interrupted(ctx)
	}
	x.fleet.Failed(x.endpoint)
	return evFailed
}

func (x *execution) interrupted(ctx context.Context) statechart.Event {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return evDeadline
	}
	return evCallerGone
}

func (x *execution) mayRetry() bool { return x.attempt < maxAttempts }

// cancelAttempt frees what the attempt holds at its endpoint.
func (x *execution) cancelAttempt() {
	x.fleet.Started(x.endpoint, x.req.ID)
	if x.stream != nil {
		x.stream.Close()
		x.stream = nil
	}
	address := x.req.Snapshot.Endpoints[x.endpoint].Address
	cancel := wire.Cancel{Request: x.req.ID, Attempt: x.attempt}
	go func() { _ = x.caller.Cancel(address, cancel, cancelTimeout) }()
}

func (x *execution) end() error {
	x.fleet.Started(x.endpoint, x.req.ID)
	if x.stream != nil {
		x.stream.Close()
	}
	if x.machine.State() == "cancelled" {
		return errcode.New(errcode.Cancelled, "the caller went away")
	}
	return x.failure
}

// classify says why the request failed and whether it ran.
func (x *execution) classify(ctx context.Context) error {
	ran := errcode.RanNo
	if x.ran {
		ran = errcode.RanYes
	}
	if ctx.Err() != nil {
		return errcode.New(errcode.DeadlineExceeded, "the deadline passed").WithRan(ran)
	}
	if x.cause == nil {
		return errcode.New(errcode.NoEndpoint, "no endpoint of %s takes the prompt", x.req.Service).WithRetryAfter(time.Second)
	}
	return errcode.New(errcode.EndpointFailed, "%v", x.cause).WithRan(ran).WithRetryAfter(time.Second)
}
