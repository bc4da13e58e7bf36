// Package event implements structured logging. Every event has a number, a
// name, a level and typed fields; docs/EVENTS.md is the generated catalogue.
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

// Def holds the constant properties of an event type.
type Def struct {
	Number  int
	Name    string
	Level   log.Level
	Meaning string
}

// Event is one log record: a struct whose fields have `log:"name"` tags.
type Event interface {
	Def() Def
}

// Logger writes events to the log.
type Logger struct {
	entry *log.Entry
}

// FormatError reports an unknown log format or level.
type FormatError struct{ Value string }

// Error implements error.
func (e *FormatError) Error() string { return "unknown log format or level " + e.Value }

// New returns a Logger that writes events of at least the given level to w. The
// format is json or text; every record has the field vm. An unknown format or
// level is returned as a FormatError.
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

// Emit writes the event with its number and its non-zero fields.
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
