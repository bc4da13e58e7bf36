package entry

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"cornelsaddle.example/cornelsaddle/internal/event"
	"cornelsaddle.example/cornelsaddle/internal/provider"
)

// lockedBuffer is a buffer that may be written and read concurrently.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

// Write implements io.Writer.
func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// count returns the number of lines that contain both texts.
func (l *lockedBuffer) count(a, b string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for lines := bufio.NewScanner(strings.NewReader(l.b.String())); lines.Scan(); {
		if strings.Contains(lines.Text(), a) && strings.Contains(lines.Text(), b) {
			n++
		}
	}
	return n
}

// TestOddEntriesNameNoEndpoint lets another writer leave odd rows among those of the
// endpoints: the VM goes on following the list, sends requests to the sound endpoints only,
// and logs each row once, however often it is written. Rows with an impossible address were
// chosen for requests again and again.
func TestOddEntriesNameNoEndpoint(t *testing.T) {
	store := newMemoryStore()
	address, served := startEndpoint(t, 0)
	store.putConfiguration(t, 1, "/a/")
	store.putEndpoint(t, "i-1", address, "ready")
	odd := map[string]string{
		"deep":    strings.Repeat(`{"a":`, 20000) + "1" + strings.Repeat("}", 20000),
		"number":  `{"service":"s","address":"` + address + `","slots":1e30,"state":"ready"}`,
		"port":    `{"service":"s","address":"127.0.0.1:99999","slots":64,"state":"ready"}`,
		"no-port": `{"service":"s","address":"127.0.0.1","slots":64,"state":"ready"}`,
		"slots":   `{"service":"s","address":"127.0.0.1:1","slots":4611686018427387904,"state":"ready"}`,
		"cold":    `{"service":"s","address":"127.0.0.1:1","slots":64,"state":"ready","cold_left_ms":1e300}`,
	}
	for key, value := range odd {
		require.NoError(t, store.Put(context.Background(), provider.Endpoints, key, []byte(value)))
	}
	var output lockedBuffer
	log, err := event.New(&output, "json", "info", "a")
	require.NoError(t, err)
	v := startVMWithLog(t, "a", store, log)
	awaitStatus(t, v.settings.Balancer, "/readyz", http.StatusOK)
	for range 30 {
		require.Equal(t, http.StatusOK, status(t, v.settings.Callers, "/a/x"))
	}
	require.EqualValues(t, 30, served.Load())
	require.Zero(t, output.count(`"event":712`, ""), "no request is sent in vain")
	later, servedLater := startEndpoint(t, 0)
	store.putEndpoint(t, "i-2", later, "ready")
	for key, value := range odd {
		require.NoError(t, store.Put(context.Background(), provider.Endpoints, key, []byte(value)))
	}
	require.NoError(t, store.Remove(context.Background(), provider.Endpoints, "i-1"))
	require.Eventually(t, func() bool {
		return status(t, v.settings.Callers, "/a/x") == http.StatusOK && servedLater.Load() > 0
	}, 10*time.Second, 10*time.Millisecond)
	for key := range odd {
		require.Equal(t, 1, output.count(`"event":704`, fmt.Sprintf(`"endpoint":%q`, key)), key)
	}
}
