package api

import (
	"fmt"
	"net/http"
	"os"
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails if goroutines have leaked. It ignores fasthttp's background
// goroutines: those that close idle connections, which end by themselves after
// some seconds, and those that maintain the dialer's address cache and the clock.
func TestMain(m *testing.M) {
	code := m.Run()
	http.DefaultClient.CloseIdleConnections()
	err := goleak.Find(
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*HostClient).connsCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*Client).mCleaner"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*TCPDialer).tcpAddrsClean"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"),
	)
	if code == 0 && err != nil {
		fmt.Println(err)
		code = 1
	}
	os.Exit(code)
}
