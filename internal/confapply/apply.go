package confapply

import (
	"encoding/json"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/calls"
	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/core/statechart"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// Events, actions and guards of the configuration_apply state chart.
const (
	evValid       statechart.Event = "valid"
	evInvalid     statechart.Event = "invalid"
	evAtBase      statechart.Event = "at_base"
	evMovedOn     statechart.Event = "moved_on"
	evJoined      statechart.Event = "joined"
	evConflict    statechart.Event = "conflict"
	evWritten     statechart.Event = "written"
	evApplied     statechart.Event = "applied"
	evLostRace    statechart.Event = "lost_race"
	evUnknown     statechart.Event = "unknown"
	evMine        statechart.Event = "mine"
	evNotMine     statechart.Event = "not_mine"
	evUnmoved     statechart.Event = "unmoved"
	evStoreFailed statechart.Event = "store_failed"

	doReadHead     statechart.Action = "read_head"
	doRebase       statechart.Action = "rebase"
	doWriteObjects statechart.Action = "write_objects"
	doMoveHead     statechart.Action = "move_head"
	doReadBack     statechart.Action = "read_back"
	doWait         statechart.Action = "wait"
	doAccept       statechart.Action = "accept"
	doRefuse       statechart.Action = "refuse"

	inTime statechart.Guard = "in_time"
)

const (
	initialBackOff = 20 * time.Millisecond
	maxBackOff     = time.Second
	// DefaultLimit is the time for which Apply retries after store failures.
	DefaultLimit = 30 * time.Second
)

// Change is a configuration change that an operator submits.
type Change struct {
	// Files are the files of the configuration folder.
	Files []configuration.File
	// Base is the version that the files were derived from; zero for the first
	// version.
	Base int64
	// Limit is the time for which store failures are retried.
	Limit time.Duration
}

// Result describes an accepted change.
type Result struct {
	// Version is the version that contains the change.
	Version int64 `json:"version"`
	// Merged reports that the version also contains changes that were accepted
	// since the base, so that its files differ from those submitted.
	Merged bool `json:"joined"`
}

// Apply submits files derived from version base and returns the version that
// contains them. It retries for DefaultLimit; its errors are those of Run.
func Apply(store Store, files []configuration.File, base int64) (int64, error) {
	result, err := Run(store, Change{Files: files, Base: base, Limit: DefaultLimit})
	return result.Version, err
}

// Run validates a change, rebases it if necessary, writes it and moves the head
// row to it. A rejected change took no effect; after an error with
// errcode.WriteUnknown the change may have been accepted.
func Run(store Store, change Change) (Result, error) {
	retryDelays := backoff.NewExponentialBackOff()
	retryDelays.InitialInterval = initialBackOff
	retryDelays.MaxInterval = maxBackOff
	r := &run{
		store:       store,
		change:      change,
		files:       change.Files,
		deadline:    time.Now().Add(change.Limit),
		retryDelays: retryDelays,
	}
	machine, err := statechart.NewMachine(statechart.MustLoad("configuration_apply"), statechart.Guards{inTime: r.inTime})
	if err != nil {
		return Result{}, err
	}
	ev := r.check()
	for !machine.Done() {
		actions, err := machine.Fire(ev)
		if err != nil {
			return Result{}, err
		}
		for _, a := range actions {
			if next := r.do(a); next != "" {
				ev = next
			}
		}
	}
	return r.result, r.failure
}

// run holds the state of one call of Run.
type run struct {
	store       Store
	change      Change
	deadline    time.Time
	retryDelays *backoff.ExponentialBackOff

	files          []configuration.File
	document       []byte
	head           configuration.Head
	headRowVersion int64
	next           configuration.Head
	// outcomeUnknown reports that the outcome of a head update is unknown; it may
	// still take effect.
	outcomeUnknown bool
	cause          error
	result         Result
	failure        error
}

func (r *run) inTime() bool { return time.Now().Before(r.deadline) }

func (r *run) do(a statechart.Action) statechart.Event {
	switch a {
	case doReadHead:
		return r.readHead()
	case doRebase:
		return r.rebase()
	case doWriteObjects:
		return r.writeObjects()
	case doMoveHead:
		return r.moveHead()
	case doReadBack:
		return r.readBack()
	case doWait:
		time.Sleep(r.retryDelays.NextBackOff())
	case doAccept:
		r.result = Result{r.next.Version, r.next.Version != r.change.Base+1}
	case doRefuse:
		r.failure = r.rejection()
	}
	return ""
}

func (r *run) check() statechart.Event {
	document, _, err := configuration.Build(r.files)
	if err != nil {
		r.cause = err
		return evInvalid
	}
	r.document = document
	return evValid
}

func (r *run) readHead() statechart.Event {
	head, row, err := readHead(r.store, configuration.HeadKey)
	if err != nil {
		return r.storeFailed(err)
	}
	r.head, r.headRowVersion = head, row
	if head.Version == r.change.Base {
		return evAtBase
	}
	return evMovedOn
}

// rebase merges the change with the changes accepted since its base.
func (r *run) rebase() statechart.Event {
	if r.change.Base > r.head.Version {
		r.cause = errcode.New(errcode.ConfigConflict, "base version %d is newer than the newest accepted version %d", r.change.Base, r.head.Version)
		return evConflict
	}
	base, err := ReadFiles(r.store, r.change.Base)
	if err != nil {
		return r.storeFailed(err)
	}
	theirs, err := ReadFiles(r.store, r.head.Version)
	if err != nil {
		return r.storeFailed(err)
	}
	files, err := configuration.Rebase(base, theirs, r.change.Files)
	if err != nil {
		r.cause = err
		return evConflict
	}
	if configuration.SameFiles(files, theirs) {
		// The newest version already contains the change: an earlier run of it was
		// accepted.
		r.next = r.head
		return evMine
	}
	r.files = files
	if r.check() == evInvalid {
		return evInvalid
	}
	return evJoined
}

// writeObjects stores the document and its files as new objects, which the next
// head refers to.
func (r *run) writeObjects() statechart.Event {
	change := uuid.NewString()
	r.outcomeUnknown = false
	r.next = configuration.Head{
		Version: r.head.Version + 1,
		Object:  "configuration/" + change + "/document",
		Files:   "configuration/" + change + "/files",
		Digest:  calls.Digest(r.document),
		Change:  change,
	}
	files, err := json.Marshal(r.files)
	if err != nil {
		return r.storeFailed(errors.WithStack(err))
	}
	if err := r.store.PutObject(r.next.Files, files); err != nil {
		return r.storeFailed(err)
	}
	if err := r.store.PutObject(r.next.Object, r.document); err != nil {
		return r.storeFailed(err)
	}
	return evWritten
}

// moveHead updates the head row if it has not changed since it was read. The
// transaction also creates a row for the version itself, from which the outcome
// can be determined after a lost response even if later versions have followed.
func (r *run) moveHead() statechart.Event {
	value, err := json.Marshal(r.next)
	if err != nil {
		return r.storeFailed(errors.WithStack(err))
	}
	key := configuration.VersionKey(r.next.Version)
	_, outcome, err := r.store.Apply(wire.Txn{
		Conditions: []wire.Condition{
			{Key: configuration.HeadKey, Version: r.headRowVersion},
			{Key: key, Version: wire.AbsentVersion},
		},
		Puts: []wire.Put{
			{Key: configuration.HeadKey, Value: value},
			{Key: key, Value: value},
		},
	})
	switch {
	case outcome == platform.OutcomeApplied:
		return evApplied
	case outcome == platform.OutcomeUnknown:
		r.outcomeUnknown = true
		r.cause = err
		return evUnknown
	case err != nil:
		return r.storeFailed(err)
	}
	return evLostRace
}

// readBack determines which change, if any, was accepted as the next version.
func (r *run) readBack() statechart.Event {
	head, _, err := readHead(r.store, configuration.VersionKey(r.next.Version))
	switch {
	case err != nil:
		return r.storeFailed(err)
	case head.Version == 0:
		return evUnmoved
	case head.Change == r.next.Change:
		return evMine
	}
	// The head row has changed since it was read, so the conditional update can
	// no longer take effect.
	r.outcomeUnknown = false
	return evNotMine
}

func (r *run) storeFailed(err error) statechart.Event {
	r.cause = err
	return evStoreFailed
}

// rejection returns the typed error for a change that was not accepted or whose
// outcome is unknown.
func (r *run) rejection() error {
	var invalid *configuration.InvalidError
	var file *configuration.FileError
	var conflict *configuration.ConflictError
	var typed *errcode.Error
	switch {
	case r.outcomeUnknown:
		return errcode.New(errcode.WriteUnknown, "outcome of the write unknown; the change may have been accepted as version %d: %v", r.next.Version, r.cause)
	case errors.As(r.cause, &invalid), errors.As(r.cause, &file), errors.As(r.cause, &typed):
		return r.cause
	case errors.As(r.cause, &conflict):
		return errors.Wrap(errcode.New(errcode.ConfigConflict, "%s (base %d, newest version %d)", conflict.Error(), r.change.Base, r.head.Version), "configuration unchanged")
	}
	return errcode.New(errcode.StoreUnavailable, "%v", r.cause)
}
