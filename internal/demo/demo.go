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

// Bounds of each phase of the sample load.
const (
	maxRequests = 3_000
	maxInFlight = 500
)

// Options configure a run of the demo.
type Options struct {
	Deployment string
	// Once ends the demo after the tables are printed.
	Once bool
	// Seed is the seed of the sample load.
	Seed uint64
	// WarmUp, ShortOnly, ShortAndMedium and AllClasses are the durations of the
	// phases of the load: the warm-up, whose results are discarded, short prompts
	// only, short and medium ones, and all length classes.
	WarmUp         time.Duration
	ShortOnly      time.Duration
	ShortAndMedium time.Duration
	AllClasses     time.Duration
	// Out receives the progress, the tables and example requests.
	Out io.Writer
	// Logs receives the logs of the VMs.
	Logs io.Writer
}

// DefaultOptions returns the options of the command without flags.
func DefaultOptions() Options {
	return Options{
		Deployment:     "kivukoni",
		Seed:           1,
		WarmUp:         time.Second,
		ShortOnly:      4 * time.Second,
		ShortAndMedium: 4 * time.Second,
		AllClasses:     9 * time.Second,
		Out:            io.Discard,
		Logs:           io.Discard,
	}
}

// IncorrectAnswersError counts the broken and the wrong answers of all phases.
type IncorrectAnswersError struct{ Broken, Wrong int }

// Error implements error.
func (e *IncorrectAnswersError) Error() string {
	return fmt.Sprintf("%d answers were broken and %d wrong", e.Broken, e.Wrong)
}

// Run runs the demo until ctx is cancelled, or until the tables are printed if
// opts.Once is set. It returns an IncorrectAnswersError if an answer of the
// sample load was broken or wrong.
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
	fmt.Fprintln(opts.Out, "all entry VMs are ready and list each other as peers")
	if err := s.measure(ctx, opts); err != nil {
		return err
	}
	if opts.Once || ctx.Err() != nil {
		return nil
	}
	s.printExamples(opts.Out)
	<-ctx.Done()
	return nil
}

// phaseResults are the results of the phases of the load, without the warm-up.
type phaseResults struct {
	shortOnly, shortAndMedium, allClasses loadgen.Result
}

// measure runs the phases of the load and prints the tables.
func (s *system) measure(ctx context.Context, opts Options) error {
	mix := s.deployment.mix(opts.Seed, opts.AllClasses)
	var warmUp loadgen.Result
	var m phaseResults
	for i, phase := range []struct {
		title    string
		mix      loadgen.Mix
		duration time.Duration
		result   *loadgen.Result
	}{
		{"warm-up", mix.OnlyClasses(classShort, classMedium), opts.WarmUp, &warmUp},
		{"short prompts only", mix.OnlyClasses(classShort), opts.ShortOnly, &m.shortOnly},
		{"short and medium prompts", mix.OnlyClasses(classShort, classMedium), opts.ShortAndMedium, &m.shortAndMedium},
		{"all length classes", mix, opts.AllClasses, &m.allClasses},
	} {
		phase.mix.DurationMs = phase.duration.Milliseconds()
		phase.mix.TextSeed = uint64(i)
		result, err := s.runLoad(ctx, opts.Out, phase.title, phase.mix)
		if err != nil || ctx.Err() != nil {
			return err
		}
		*phase.result = result
	}
	printTables(opts.Out, &s.deployment, &m)
	return m.checkAnswers()
}

// checkAnswers returns an IncorrectAnswersError if an answer was broken or
// wrong.
func (m *phaseResults) checkAnswers() error {
	var incorrect IncorrectAnswersError
	for _, r := range []*loadgen.Result{&m.shortOnly, &m.shortAndMedium, &m.allClasses} {
		incorrect.Broken += r.Totals.Broken
		incorrect.Wrong += r.Totals.Wrong
	}
	if incorrect != (IncorrectAnswersError{}) {
		return errors.WithStack(&incorrect)
	}
	return nil
}

func (s *system) runLoad(ctx context.Context, out io.Writer, title string, mix loadgen.Mix) (loadgen.Result, error) {
	fmt.Fprintf(out, "load: %s, %.0f s\n", title, float64(mix.DurationMs)/1000)
	last := -1
	return loadgen.Run(ctx, mix, loadgen.Options{
		Addresses: s.callerAddresses(),
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

// printExamples prints example requests to the running VMs.
func (s *system) printExamples(out io.Writer) {
	d := &s.deployment
	fmt.Fprintf(out, `
Serving on %v until interrupted. Try:

  curl -N http://%s/v1/completions -H 'Authorization: Bearer %s' \
    -H 'Content-Type: application/json' \
    -d '{"model":"%s","prompt":"How long should wheat paste dry?","max_tokens":24,"stream":true}'

  curl -H 'Authorization: Bearer %s' http://%s/metrics

`, s.callerAddresses(), s.callerAddresses()[0], d.key(d.Organisations[0].Name), d.Model, adminToken, s.nodes[0].AdminAddr())
}
