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
	// Alone and Together are the lengths of the two parts of the load: short
	// prompts alone, and all lengths together.
	Alone    time.Duration
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
		Alone:      4 * time.Second,
		Together:   10 * time.Second,
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
	fmt.Fprintln(opts.Out, "all entry VMs are ready")
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

// measure runs the load with the short prompts alone, then with all, and prints
// the table.
func (s *system) measure(ctx context.Context, opts Options) error {
	mix := s.deployment.mix(opts.Seed, opts.Alone)
	alone, err := s.load(ctx, opts.Out, "short prompts alone", mix.Only(classShort))
	if err != nil || ctx.Err() != nil {
		return err
	}
	mix.DurationMs = opts.Together.Milliseconds()
	together, err := s.load(ctx, opts.Out, "all lengths together", mix)
	if err != nil || ctx.Err() != nil {
		return err
	}
	printTables(opts.Out, &s.deployment, &alone, &together)
	broken := alone.Totals.Broken + together.Totals.Broken
	wrong := alone.Totals.Wrong + together.Totals.Wrong
	if broken+wrong > 0 {
		return errors.WithStack(&UnsoundError{broken, wrong})
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
