package demo

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/internal/loadgen"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

const (
	maxRequests = 3_000
	maxInFlight = 500
)

// Options are the demo's choices.
type Options struct {
	Deployment string
	// Once ends the demo after the table.
	Once bool
	// Seed of the sample load.
	Seed uint64
	// WarmUp, Alone, Medium and Together are the lengths of the parts of the load:
	// what is not counted, short prompts alone, short and medium ones, and all
	// lengths together.
	WarmUp   time.Duration
	Alone    time.Duration
	Medium   time.Duration
	Together time.Duration
	// Out gets the progress, the table and the line to try.
	Out io.Writer
	// Logs gets the VMs' logs.
	Logs io.Writer
}

// DefaultOptions are those of the command without flags.
func DefaultOptions() Options {
	return Options{
		Deployment: "kivukoni",
		Seed:       1,
		WarmUp:     time.Second,
		Alone:      4 * time.Second,
		Medium:     4 * time.Second,
		Together:   9 * time.Second,
		Out:        io.Discard,
		Logs:       io.Discard,
	}
}

// UnsoundError says that answers were broken or wrong.
type UnsoundError struct{ Broken, Wrong int }

// Error implements error.
func (e *UnsoundError) Error() string {
	return fmt.Sprintf("%d answers were broken and %d wrong", e.Broken, e.Wrong)
}

// Run runs the demo until its end, or until ctx is cancelled.
func Run(ctx context.Context, opts Options) error {
	d, err := Lookup(opts.Deployment)
	if err != nil {
		return err
	}
	fmt.Fprintf(opts.Out, "cornelsaddle demo: deployment %s, %d entry VMs, %d engines of %s, %d instances of %s (%s)\n",
		d.Name, entryVMs, d.Engines, d.Model, d.Instances, d.Service, runtime.Version())
	s, err := start(d, opts.Logs)
	if err != nil {
		return err
	}
	defer s.close()
	fmt.Fprintln(opts.Out, "all entry VMs are ready and know each other")
	if err := s.measure(ctx, opts); err != nil {
		return err
	}
	if opts.Once || ctx.Err() != nil {
		return nil
	}
	s.printTry(opts.Out)
	<-ctx.Done()
	return nil
}

// measured are the results of the parts of the load.
type measured struct {
	alone, medium, together loadgen.Result
}

// measure runs the parts of the load and prints the tables.
func (s *system) measure(ctx context.Context, opts Options) error {
	all := s.deployment.mix(opts.Seed, opts.Together)
	var warm loadgen.Result
	var m measured
	for i, part := range []struct {
		title    string
		mix      loadgen.Mix
		duration time.Duration
		result   *loadgen.Result
	}{
		{"warm-up", all.Only(classShort, classMedium), opts.WarmUp, &warm},
		{"short prompts alone", all.Only(classShort), opts.Alone, &m.alone},
		{"short and medium prompts", all.Only(classShort, classMedium), opts.Medium, &m.medium},
		{"all lengths together", all, opts.Together, &m.together},
	} {
		part.mix.DurationMs = part.duration.Milliseconds()
		part.mix.TextSeed = uint64(i)
		result, err := s.load(ctx, opts.Out, part.title, part.mix)
		if err != nil || ctx.Err() != nil {
			return err
		}
		*part.result = result
	}
	printTables(opts.Out, &s.deployment, &m)
	return m.check()
}

// check fails when answers were broken or wrong.
func (m *measured) check() error {
	var unsound UnsoundError
	for _, r := range []*loadgen.Result{&m.alone, &m.medium, &m.together} {
		unsound.Broken += r.Totals.Broken
		unsound.Wrong += r.Totals.Wrong
	}
	if unsound != (UnsoundError{}) {
		return errors.WithStack(&unsound)
	}
	return nil
}

func (s *system) load(ctx context.Context, out io.Writer, title string, mix loadgen.Mix) (loadgen.Result, error) {
	fmt.Fprintf(out, "load: %s, %.0f s\n", title, float64(mix.DurationMs)/1000)
	last := -1
	return loadgen.Run(ctx, mix, loadgen.Options{
		Addresses: s.callers(),
		Oracle:    engine.AnswerText,
		Progress: func(p loadgen.Progress) {
			if p.Finished == last {
				return
			}
			last = p.Finished
			fmt.Fprintf(out, "  sent %4d of %4d, finished %4d\n", p.Sent, p.Planned, p.Finished)
		},
	})
}

// printTry prints how to send a request by hand.
func (s *system) printTry(out io.Writer) {
	d := &s.deployment
	fmt.Fprintf(out, `
Serving on %v until interrupted. Try:

  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -H 'Content-Type: application/json' \
    -d '{"model":"%s","prompt":"How long should wheat paste dry?","max_tokens":24,"stream":true}'

  curl -H 'Authorization: Bearer %s' http://%s/metrics

`, s.callers(), s.callers()[0], d.key(d.Organisations[0].Name), d.Model, adminToken, s.nodes[0].Admin())
}
