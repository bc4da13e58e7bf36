package errcode

import (
	"regexp"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

func TestTableIsComplete(t *testing.T) {
	name := regexp.MustCompile(`^[a-z]+(_[a-z]+)*$`)
	for _, code := range Codes() {
		info := Lookup(code)
		require.Regexp(t, name, string(code))
		require.GreaterOrEqual(t, info.Status, 400, code)
		require.Less(t, info.Status, 600, code)
		require.Contains(t, []Ran{RanNo, RanYes, RanUnknown}, info.Ran, code)
		require.Regexp(t, `^[A-Z].*\.$`, info.Meaning, code)
	}
	require.Equal(t, Lookup(Internal), Lookup("no_such_code"))
}

func TestFromReturnsWrappedError(t *testing.T) {
	e := New(NoEndpoint, "none of %d", 3).WithRetryAfter(time.Second)
	require.Same(t, e, From(errors.WithStack(e)))
	require.True(t, Is(errors.Wrap(e, "outer"), NoEndpoint))
	require.Equal(t, Internal, From(errors.New("untyped")).Code)
	require.Nil(t, From(nil))
}

func TestWithRanDoesNotModifyOriginal(t *testing.T) {
	e := New(EndpointFailed, "cut")
	require.Equal(t, RanNo, e.WithRan(RanNo).Ran)
	require.Equal(t, RanUnknown, e.Ran)
	require.Zero(t, e.RetryAfter)
}
