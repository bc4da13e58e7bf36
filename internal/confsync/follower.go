// Package confsync follows the configuration's head in the platform's table
// service and holds the version in force on this VM, which never goes down.
package confsync

import (
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"cornelsaddle.example/cornelsaddle/core/configuration"
	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/platform"
)

// Snapshot is one version of the configuration.
type Snapshot struct {
	Version int64
	*configuration.Document
}

// NoHeadError says that the table has no head row yet.
type NoHeadError struct{}

// Error implements error.
func (*NoHeadError) Error() string { return "no configuration was applied yet" }

// Follower keeps the version in force.
type Follower struct {
	client  *platform.Client
	log     *event.Logger
	poll    time.Duration
	current atomic.Pointer[Snapshot]
	stop    chan struct{}
	done    chan struct{}
}

// New returns a Follower that reads the head every poll.
func New(client *platform.Client, log *event.Logger, poll time.Duration) *Follower {
	return &Follower{client: client, log: log, poll: poll, stop: make(chan struct{}), done: make(chan struct{})}
}

// Current is the version in force; nil before the first one is confirmed.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// Start begins to follow the head.
func (f *Follower) Start() { go f.run() }

// Stop ends it.
func (f *Follower) Stop() {
	close(f.stop)
	<-f.done
}

func (f *Follower) run() {
	defer close(f.done)
	for {
		if err := f.refresh(); err != nil {
			f.log.Emit(event.ConfigurationUnreadable{Reason: err.Error()})
		}
		select {
		case <-f.stop:
			return
		case <-time.After(f.poll):
		}
	}
}

// refresh reads the head and takes a newer version.
func (f *Follower) refresh() error {
	row, err := f.client.Get(configuration.HeadKey)
	if err != nil {
		return err
	}
	if row.Version == wire.AbsentVersion {
		return errors.WithStack(&NoHeadError{})
	}
	var head configuration.Head
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return errors.WithStack(err)
	}
	if cur := f.Current(); cur != nil && head.Version <= cur.Version {
		return nil
	}
	data, err := f.client.GetObject(head.Object)
	if err != nil {
		return err
	}
	doc, err := configuration.Decode(data)
	if err != nil {
		return err
	}
	f.current.Store(&Snapshot{Version: head.Version, Document: doc})
	f.log.Emit(event.ConfigurationApplied{Version: head.Version})
	return nil
}
