package event

import (
	"bytes"
	"encoding/json"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEventNumbersAndNamesAreValidAndUnique(t *testing.T) {
	name := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)
	numbers := make(map[int]string)
	names := make(map[string]int)
	for _, a := range areas() {
		last := a.first - 1
		for _, e := range a.events {
			def := e.Def()
			require.GreaterOrEqual(t, def.Number, a.first, def.Name)
			require.LessOrEqual(t, def.Number, a.last, def.Name)
			require.Greater(t, def.Number, last, "%s is out of order", def.Name)
			last = def.Number
			require.Empty(t, numbers[def.Number], "number %d is used twice", def.Number)
			require.Zero(t, names[def.Name], "name %s is used twice", def.Name)
			numbers[def.Number] = def.Name
			names[def.Name] = def.Number
			require.Regexp(t, name, def.Name)
			require.Regexp(t, `^[A-Z].*\.$`, def.Meaning)
		}
	}
}

// TestFieldNamesAreValid also rejects names that the logger sets itself and
// names of fields that would hold secrets or the text of prompts.
func TestFieldNamesAreValid(t *testing.T) {
	name := regexp.MustCompile(`^[a-z][a-z0-9]*(_[a-z0-9]+)*$`)
	forbidden := regexp.MustCompile(`^(vm|event|key|keys|token|prompt|body|text|authorization)$`)
	for _, e := range Catalogue() {
		typ := reflect.TypeOf(e)
		require.Equal(t, reflect.Struct, typ.Kind())
		for i := range typ.NumField() {
			tag := typ.Field(i).Tag.Get("log")
			require.Regexp(t, name, tag, "%s.%s", typ.Name(), typ.Field(i).Name)
			require.NotRegexp(t, forbidden, tag, "%s.%s", typ.Name(), typ.Field(i).Name)
		}
	}
}

func TestEventsWithAnAttemptHaveTheRequest(t *testing.T) {
	for _, e := range Catalogue() {
		names := fieldNames(e)
		if slices.Contains(names, "attempt") {
			require.Contains(t, names, "request", e.Def().Name)
		}
	}
}

// TestCatalogueHasEveryEvent fails for an event type that is missing from the
// list of its file.
func TestCatalogueHasEveryEvent(t *testing.T) {
	listed := make(map[string]bool)
	for _, e := range Catalogue() {
		listed[reflect.TypeOf(e).Name()] = true
	}
	for _, declared := range declaredEvents(t) {
		require.True(t, listed[declared], "%s is missing from the lists of events", declared)
	}
	require.Len(t, listed, len(declaredEvents(t)))
}

func TestRecordHasNumberVMAndFields(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "json", "debug", "entry-1")
	require.NoError(t, err)
	l.Emit(AttemptFailed{Request: "r-1", Attempt: 2, Endpoint: "scribe-1", Reason: "cut"})
	var record struct {
		Level   string         `json:"level"`
		Message string         `json:"message"`
		Fields  map[string]any `json:"fields"`
	}
	require.NoError(t, json.Unmarshal(b.Bytes(), &record))
	require.Equal(t, "warn", record.Level)
	require.Equal(t, "attempt failed", record.Message)
	require.Equal(t, map[string]any{
		"vm": "entry-1", "event": 301.0, "request": "r-1", "attempt": 2.0, "endpoint": "scribe-1", "reason": "cut",
	}, record.Fields)
}

func TestEventsBelowTheLevelAreNotWritten(t *testing.T) {
	var b bytes.Buffer
	l, err := New(&b, "text", "warn", "entry-1")
	require.NoError(t, err)
	l.Emit(Stopped{})
	require.Empty(t, b.String())
	l.Emit(AttemptFailed{Request: "r-1"})
	require.Contains(t, b.String(), "r-1")
}

func TestNewRejectsUnknownFormatsAndLevels(t *testing.T) {
	for _, c := range [][2]string{{"xml", "info"}, {"json", "loud"}} {
		_, err := New(&bytes.Buffer{}, c[0], c[1], "entry-1")
		var formatErr *FormatError
		require.ErrorAs(t, err, &formatErr)
		require.True(t, strings.HasSuffix(err.Error(), formatErr.Value))
	}
}
