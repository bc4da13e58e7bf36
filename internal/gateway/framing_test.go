package gateway

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// bodyUntilClose returns a script that sends a response with neither a length nor
// chunks, which ends when the script closes or resets the connection.
func bodyUntilClose(body string, end func(net.Conn)) func(int, *http.Request, []byte, net.Conn) {
	return func(_ int, _ *http.Request, _ []byte, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+ownHeader+"\r\n"+body)
		end(c)
	}
}

func closeConnection(c net.Conn) { _ = c.Close() }

// resetLater resets the connection once what was written has arrived.
func resetLater(c net.Conn) {
	time.Sleep(50 * time.Millisecond)
	reset(c)
}

// TestBodyThatEndsWithItsConnection guards against a part of a body being delivered as
// the whole: a body with neither a length nor chunks is complete where its connection is
// closed, and broken where it is reset, also if it is too large to be buffered.
func TestBodyThatEndsWithItsConnection(t *testing.T) {
	for name, body := range map[string]string{"small": "0123456789", "large": strings.Repeat("0123456789abcdef", 128<<10)} {
		t.Run(name+", closed", func(t *testing.T) {
			w := newHarness(t, newEndpoint(t, bodyUntilClose(body, closeConnection)))
			for _, path := range []string{"/calm/safe/", "/calm/once/"} {
				got := w.call(t, "POST", path, "b", patient)
				require.False(t, got.broken)
				require.Equal(t, body, got.body)
			}
		})
		t.Run(name+", reset", func(t *testing.T) {
			w := newHarness(t, newEndpoint(t, bodyUntilClose(body, resetLater)))
			for _, path := range []string{"/calm/safe/", "/calm/once/"} {
				got := w.call(t, "POST", path, "b", patient)
				require.True(t, got.broken || got.status == http.StatusBadGateway)
				require.NotEqual(t, http.StatusServiceUnavailable, got.status)
			}
		})
	}
}

// callHTTP10 sends a request by HTTP/1.0, whose responses end with their connection
// where their length is not known, and returns what the caller reads.
func (w *harness) callHTTP10(t *testing.T, path string) (string, error) {
	t.Helper()
	c := w.dial(t)
	defer func() { _ = c.Close() }()
	_, err := io.WriteString(c, "POST "+path+" HTTP/1.0\r\nHost: h\r\n"+hKey+": key\r\n"+hID+": r1\r\n"+hTimeout+": 1m\r\n\r\n")
	require.NoError(t, err)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// TestBrokenResponseIsResetForOldCallers guards against a broken response that looks
// complete to a caller of HTTP/1.0, for whom the end of the connection ends it.
func TestBrokenResponseIsResetForOldCallers(t *testing.T) {
	large := strings.Repeat("0123456789abcdef", 128<<10)
	for path, script := range map[string]func(int, *http.Request, []byte, net.Conn){
		"/fixed/":     streamUntilClose(event1 + event2 + "id: 3\nda"),
		"/calm/once/": bodyUntilClose(large, resetLater),
	} {
		w := newHarness(t, newEndpoint(t, script))
		_, err := w.callHTTP10(t, path)
		require.Error(t, err, path)
	}
	w := newHarness(t, newEndpoint(t, streamUntilClose(event1+event2)))
	body, err := w.callHTTP10(t, "/fixed/")
	require.NoError(t, err)
	require.Equal(t, event1+event2, body)
}
