package process_test

import (
	"bufio"
	"encoding/json"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/standin/engine"
)

// getJSON reads an engine's answer; false when it does not answer.
func getJSON(address, path string, v any) bool {
	res, err := http.Get("http://" + address + path)
	if err != nil {
		return false
	}
	defer func() { _ = res.Body.Close() }()
	return json.NewDecoder(res.Body).Decode(v) == nil
}

// requireMemoryBack waits until no engine that lives holds anything.
func requireMemoryBack(t *testing.T, engines []string) {
	t.Helper()
	require.Eventually(t, func() bool {
		for _, address := range engines {
			var load wire.LoadReport
			var held wire.ReservationList
			if !getJSON(address, wire.PathEngineLoad, &load) || !getJSON(address, wire.PathReservations, &held) {
				return false
			}
			if load.FreeTokens != load.TotalTokens || len(held.Reservations) > 0 {
				return false
			}
		}
		return true
	}, waitLimit, 20*time.Millisecond)
}

// held is the number of reservations at the engines.
func held(t *testing.T, engines []string) int {
	t.Helper()
	n := 0
	for _, address := range engines {
		var list wire.ReservationList
		require.True(t, getJSON(address, wire.PathReservations, &list))
		n += len(list.Reservations)
	}
	return n
}

// streaming is the index of the engine that started the request.
func streaming(t *testing.T, engines []string, request string) int {
	t.Helper()
	for i, address := range engines {
		var list wire.StartedList
		require.True(t, getJSON(address, wire.PathStarted, &list))
		for _, name := range list.Started {
			if strings.HasPrefix(name, request+"/") {
				return i
			}
		}
	}
	require.Fail(t, "no engine streams")
	return -1
}

func TestEnginesAndLongPrompts(t *testing.T) {
	s := startSystem(t)

	t.Run("an oversize prompt is answered by a group", func(t *testing.T) {
		req := prompt(0)
		req.Prompt = strings.Repeat("guild archive entry ", 200_000)
		res := post(t, s.callers[0], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		text, whole := readStream(t, res.Body)
		require.True(t, whole)
		require.Equal(t, engine.AnswerText(req.Prompt, answerLen), text)
		requireMemoryBack(t, s.engines)
	})

	t.Run("a VM dies while it holds a group", func(t *testing.T) {
		const last = entryVMs - 1
		req := prompt(3)
		req.Prompt = strings.Repeat("donor collection page ", 150_000)
		req.MaxTokens = 3000
		res := post(t, s.callers[last], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		require.Positive(t, held(t, s.engines))
		require.NoError(t, s.vms[last].cmd.Process.Kill())
		<-s.vms[last].done
		_, whole := readStream(t, res.Body)
		require.False(t, whole)
		require.Positive(t, held(t, s.engines))
		// Its next incarnation proves that the last one is gone.
		s.startVM(t, build(t, "cornelsaddle.example/cornelsaddle/cmd/cornelsaddle"), t.TempDir(), s.platform, last)
		requireMemoryBack(t, s.engines)
	})

	t.Run("an engine dies in the middle of an answer", func(t *testing.T) {
		const long = 1500
		req := prompt(1)
		req.MaxTokens = long
		res := post(t, s.callers[1], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		body := bufio.NewReader(res.Body)
		_, err := body.Peek(1)
		require.NoError(t, err)
		i := streaming(t, s.engines, res.Header.Get(wire.HeaderRequestID))
		require.NoError(t, s.engineProcesses[i].cmd.Process.Kill())
		text, whole := readStream(t, body)
		require.True(t, whole)
		require.Equal(t, engine.AnswerText(req.Prompt, long), text)
		s.engines = append(s.engines[:i], s.engines[i+1:]...)
		requireMemoryBack(t, s.engines)
	})

	t.Run("an oversize prompt does with the engines that are left", func(t *testing.T) {
		req := prompt(2)
		req.Prompt = strings.Repeat("season logbook page ", 120_000)
		res := post(t, s.callers[2], wire.PathCompletions, "", req)
		require.Equal(t, http.StatusOK, res.StatusCode)
		text, whole := readStream(t, res.Body)
		require.True(t, whole)
		require.Equal(t, engine.AnswerText(req.Prompt, answerLen), text)
		requireMemoryBack(t, s.engines)
	})
}
