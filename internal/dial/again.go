package dial

import (
	"context"
	"net"
	"time"

	"github.com/pkg/errors"
)

// attemptLimit bounds one try to open a connection. The system repeats a lost
// opening packet after a second only, and a VM that was just away is back
// sooner.
const attemptLimit = 250 * time.Millisecond

// Again opens a connection within the limit. A try that gets no answer is
// repeated soon; one that is refused is not.
func Again(ctx context.Context, d net.Dialer, address string, limit time.Duration) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	d.Timeout = attemptLimit
	for {
		conn, err := d.DialContext(ctx, "tcp4", address)
		if err == nil {
			return conn, nil
		}
		var timeout net.Error
		if ctx.Err() != nil || !errors.As(err, &timeout) || !timeout.Timeout() {
			return nil, errors.WithStack(err)
		}
	}
}
