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

// The names of the configuration_apply chart.
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

	doReadHead statechart.Action = "read_head"
	doRebase   statechart.Action = "rebase"
	doWrite    statechart.Action = "write_objects"
	doMove     statechart.Action = "move_head"
	doReadBack statechart.Action = "read_back"
	doWait     statechart.Action = "wait"
	doAccept   statechart.Action = "accept"
	doRefuse   statechart.Action = "refuse"

	inTime statechart.Guard = "in_time"
)

const (
	firstWait = 20 * time.Millisecond
	maxWait   = time.Second
	// DefaultLimit is how long an apply goes on trying.
	DefaultLimit = 30 * time.Second
)

// Change is what an operator wants put in force.
type Change struct {
	// Files of the folder.
	Files []configuration.File
	// Base is the version that the folder was made from; zero for the first.
	Base int64
	// Limit is how long to go on where the store fails.
	Limit time.Duration
}

// Result is an accepted change.
type Result struct {
	// Version that holds the change.
	Version int64 `json:"version"`
	// Joined says that the version also holds changes that others made since
	// the base, so that the folder is not the whole of it.
	Joined bool `json:"joined"`
}

// Apply puts the files in force on top of version base and returns the version
// that holds them.
func Apply(store Store, files []configuration.File, base int64) (int64, error) {
	result, err := Run(store, Change{Files: files, Base: base, Limit: DefaultLimit})
	return result.Version, err
}

// Run carries a change to its end. A refused change took no effect; a failure
// with errcode.WriteUnknown may have.
func Run(store Store, change Change) (Result, error) {
	waits := backoff.NewExponentialBackOff()
	waits.InitialInterval = firstWait
	waits.MaxInterval = maxWait
	r := &run{
		store:  store,
		change: change,
		files:  change.Files,
		end:    time.Now().Add(change.Limit),
		waits:  waits,
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

// run is the state of one apply.
type run struct {
	store  Store
	change Change
	end    time.Time
	waits  *backoff.ExponentialBackOff

	files    []configuration.File
	document []byte
	head     configuration.Head
	row      int64
	next     configuration.Head
	// doubtful says that a move of the head may still take effect.
	doubtful bool
	cause    error
	result   Result
	failure  error
}

func (r *run) inTime() bool { return time.Now().Before(r.end) }

func (r *run) do(a statechart.Action) statechart.Event {
	switch a {
	case doReadHead:
		return r.readHead()
	case doRebase:
		return r.rebase()
	case doWrite:
		return r.write()
	case doMove:
		return r.move()
	case doReadBack:
		return r.readBack()
	case doWait:
		time.Sleep(r.waits.NextBackOff())
	case doAccept:
		r.result = Result{r.next.Version, r.next.Version != r.change.Base+1}
	case doRefuse:
		r.failure = r.refusal()
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
	r.head, r.row = head, row
	if head.Version == r.change.Base {
		return evAtBase
	}
	return evMovedOn
}

// rebase joins the change with what was accepted since its base.
func (r *run) rebase() statechart.Event {
	if r.change.Base > r.head.Version {
		r.cause = errcode.New(errcode.ConfigConflict, "the base is %d, but the newest version is %d", r.change.Base, r.head.Version)
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
		// An earlier run of the same change was accepted.
		r.next = r.head
		return evMine
	}
	r.files = files
	if r.check() == evInvalid {
		return evInvalid
	}
	return evJoined
}

// write puts the document and its files where the next head will name them.
func (r *run) write() statechart.Event {
	change := uuid.NewString()
	r.doubtful = false
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

// move moves the head, if it is where it was read. The version's own row lets
// a lost answer be settled also after later versions.
func (r *run) move() statechart.Event {
	value, err := json.Marshal(r.next)
	if err != nil {
		return r.storeFailed(errors.WithStack(err))
	}
	key := configuration.VersionKey(r.next.Version)
	_, outcome, err := r.store.Apply(wire.Txn{
		Conditions: []wire.Condition{
			{Key: configuration.HeadKey, Version: r.row},
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
		r.doubtful = true
		r.cause = err
		return evUnknown
	case err != nil:
		return r.storeFailed(err)
	}
	return evLostRace
}

// readBack tells whose the next version is.
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
	// The row that the move depends on has changed, so it can't take effect.
	r.doubtful = false
	return evNotMine
}

func (r *run) storeFailed(err error) statechart.Event {
	r.cause = err
	return evStoreFailed
}

// refusal is the typed failure of a change that was not accepted.
func (r *run) refusal() error {
	var invalid *configuration.InvalidError
	var file *configuration.FileError
	var conflict *configuration.ConflictError
	var typed *errcode.Error
	switch {
	case r.doubtful:
		return errcode.New(errcode.WriteUnknown, "the change may or may not have been accepted as version %d: %v", r.next.Version, r.cause)
	case errors.As(r.cause, &invalid), errors.As(r.cause, &file), errors.As(r.cause, &typed):
		return r.cause
	case errors.As(r.cause, &conflict):
		return errors.Wrap(errcode.New(errcode.ConfigConflict, "%s (base %d, newest version %d)", conflict.Error(), r.change.Base, r.head.Version), "nothing was changed")
	}
	return errcode.New(errcode.StoreUnavailable, "%v", r.cause)
}
