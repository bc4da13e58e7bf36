package prompt

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/errcode"
)

// TestPromptThatCrashesEnginesIsNotSentOn guards against a prompt that crashes each
// engine which begins to answer it being sent to one engine after the other.
func TestPromptThatCrashesEnginesIsNotSentOn(t *testing.T) {
	crash := behaviour{Finish: finishCut}
	tr := trial{Script: []behaviour{crash}, Answer: 5, Deadline: 30 * time.Second}
	out := runTrial(t, tr, forward)
	require.Len(t, out.started, 3)
	require.True(t, errcode.Is(out.err, errcode.EndpointFailed))

	// A crash after the first tokens is that of an engine which answers the prompt.
	cut := behaviour{Finish: finishCut, Tokens: 1}
	tr.Script = []behaviour{crash, cut, cut, cut, {}}
	out = runTrial(t, tr, forward)
	require.Len(t, out.started, 5)
	require.Len(t, out.tokens, tr.Answer)
}
