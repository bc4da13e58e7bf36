package confsync

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"cornelsaddle.example/cornelsaddle/core/calls"
)

func document(n int) []byte {
	return fmt.Appendf(nil, `{"endpoints":{"a":{"n":%d},"b":{"n":1,"text":"some text that does not change"}}}`, n)
}

// TestTransferBringsAnyPeerUpToDate checks that a transfer yields the document of
// the VM that is ahead, for random sequences of versions at both VMs.
func TestTransferBringsAnyPeerUpToDate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ahead, behind held
		version := int64(0)
		for range rapid.IntRange(1, 2*maxSteps).Draw(t, "versions") {
			version += rapid.Int64Range(1, 2).Draw(t, "step")
			ahead = ahead.next(version, document(int(version)))
			if rapid.IntRange(0, 9).Draw(t, "both") == 0 {
				behind = behind.next(version, document(int(version)))
			}
		}
		sent := ahead.transfer(behind.version)
		if behind.version == ahead.version {
			require.Empty(t, sent.Steps)
			require.Empty(t, sent.Document)
			return
		}
		got, err := behind.apply(sent)
		require.NoError(t, err)
		require.JSONEq(t, string(ahead.document), string(got))
		require.Equal(t, ahead.digest, calls.Digest(got))
	})
}

func TestDamagedTransferIsRefused(t *testing.T) {
	a := held{}.next(1, document(1))
	b := a.next(2, document(2))
	sent := b.transfer(1)
	require.Len(t, sent.Steps, 1)
	require.Less(t, len(sent.Steps[0].Patch), len(b.document)/2)
	var damaged *TransferError

	wrong := sent
	wrong.Steps = []step{{From: 1, To: 2, Patch: []byte(`{"endpoints":{"a":{"n":3}}}`)}}
	_, err := a.apply(wrong)
	require.ErrorAs(t, err, &damaged)

	gap := sent
	gap.Steps = []step{{From: 0, To: 2, Patch: sent.Steps[0].Patch}}
	_, err = a.apply(gap)
	require.ErrorAs(t, err, &damaged)
}
