package dial

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// attemptTimeout bounds one attempt to open a connection. The operating system
// retransmits a lost SYN only after 1 s, while a VM that was briefly unreachable is
// back sooner.
const attemptTimeout = 250 * time.Millisecond

// WithRetry opens a TCP connection within the timeout. An attempt that times out is
// retried, attemptTimeout after its start; any other error, such as a refused connection, is
// returned.
func WithRetry(ctx context.Context, d net.Dialer, address string, timeout time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	d.Timeout = attemptTimeout
	for {
		next := time.NewTimer(attemptTimeout)
		conn, err := d.DialContext(ctx, "tcp4", address)
		if err == nil {
			next.Stop()
			return conn, nil
		}
		var netErr net.Error
		if ctx.Err() != nil || !errors.As(err, &netErr) || !netErr.Timeout() {
			next.Stop()
			return nil, errors.WithStack(err)
		}
		// Some errors count as a timeout and come at once.
		select {
		case <-next.C:
		case <-ctx.Done():
			return nil, errors.WithStack(err)
		}
	}
}
