// Package event has the log: every event has a number, a name, a level and
// typed fields. docs/EVENTS.md is the catalogue.
package event

import (
	"io"
	"reflect"
	"strings"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"
	"github.com/pkg/errors"
)

// Def is what is fixed for a kind of event.
type Def struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string
}

// Event is one log record: a struct whose fields carry `log:"name"` tags.
type Event interface {
	Def() Def
}

// Logger writes events.
type Logger struct {
	entry *log.Entry
}

// FormatError says that a log format or level is not known.
type FormatError struct{ Value string }

// Error implements error.
func (e *FormatError) Error() string { return "unknown log format or level " + e.Value }

// New returns a Logger that writes to w in the format, json or text, and names
// the VM in every record.
func New(w io.Writer, format, level, vm string) (*Logger, error) {
	lv, err := log.ParseLevel(level)
	if err != nil {
		return nil, errors.WithStack(&FormatError{level})
	}
	l := &log.Logger{Level: lv}
	switch format {
	case "json":
		l.Handler = json.New(w)
	case "text":
		l.Handler = text.New(w)
	default:
		return nil, errors.WithStack(&FormatError{format})
	}
	return &Logger{entry: l.WithField("vm", vm)}, nil
}

// Emit writes the event.
func (l *Logger) Emit(e Event) {
	def := e.Def()
	entry := l.entry.WithField("event", def.Number)
	v := reflect.Indirect(reflect.ValueOf(e))
	for i := range v.NumField() {
		name := v.Type().Field(i).Tag.Get("log")
		if name == "" || v.Field(i).IsZero() {
			continue
		}
		entry = entry.WithField(name, v.Field(i).Interface())
	}
	write(entry, def)
}

func write(entry *log.Entry, def Def) {
	name := strings.ReplaceAll(def.Name, "_", " ")
	switch def.Level {
	case log.DebugLevel:
		entry.Debug(name)
	case log.WarnLevel:
		entry.Warn(name)
	case log.ErrorLevel, log.FatalLevel:
		entry.Error(name)
	default:
		entry.Info(name)
	}
}
