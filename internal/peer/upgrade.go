package peer

import (
	"bufio"
	"context"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/dial"
	"cornelsaddle.example/cornelsaddle/internal/event"
)

// Upgraded serves a connection that was handed over.
type Upgraded interface {
	// Serve has the connection until it returns.
	Serve(conn net.Conn)
	// Close is called at the end, also if the connection was lost before Serve.
	Close()
}

// UpgradeHandler handles the call of an upgrade method. The caller gets the result. The
// connection is handed over to the Upgraded, or closed if that is nil.
type UpgradeHandler func(ctx context.Context, from Identity, params json.RawMessage) (any, Upgraded, error)

// RegisterUpgrade registers the handler of an upgrade method, with typed parameters and result.
// Parameters that cannot be decoded give the caller a BadRequest error.
func RegisterUpgrade[P, R any](m *Mux, method Method, f func(ctx context.Context, from Identity, params P) (R, Upgraded, error)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.upgrades[method] = func(ctx context.Context, from Identity, raw json.RawMessage) (any, Upgraded, error) {
		var params P
		if err := json.Unmarshal(raw, &params); err != nil {
			return nil, nil, errcode.New(errcode.BadRequest, "%s: %v", method, err)
		}
		return f(ctx, from, params)
	}
}

// Upgrade calls the upgrade method on the VM at the address, over a connection of its own, and
// decodes the response into result. After a successful call the connection is the caller's, for
// any bytes; they are not authenticated. The system closes it when the other end falls silent.
// A handler's error is returned with its error code; a VM of an earlier build does not know the
// method.
func (c *Client) Upgrade(ctx context.Context, address string, method Method, params, result any) (net.Conn, Identity, error) {
	conn, err := dial.WithRetry(ctx, dial.Watched(), address, c.cfg.HandshakeTimeout)
	if err != nil {
		return nil, Identity{}, errors.WithStack(err)
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	upgraded, from, err := c.upgrade(conn, address, method, params, result)
	if !stop() && err == nil {
		err = errors.WithStack(ctx.Err())
	}
	if err != nil {
		_ = conn.Close()
		return nil, from, err
	}
	return upgraded, from, nil
}

func (c *Client) upgrade(conn net.Conn, address string, method Method, params, result any) (net.Conn, Identity, error) {
	r := bufio.NewReader(conn)
	h := c.handshaker()
	h.upgrade = true
	sess, err := h.connect(conn, r)
	if err != nil {
		var rejected *RejectedError
		if errors.As(err, &rejected) {
			c.reject(address, rejected.Reason)
		}
		return nil, Identity{}, err
	}
	out := &stream{conn: conn, r: r, session: sess, maxBytes: c.cfg.MaxMessageBytes, counters: c.counters, meter: c.newMeter(sess.peer.VM), reject: func(reason Reason) { c.reject(address, reason) }}
	if err := out.callOnce(method, params, result); err != nil {
		return nil, sess.peer, err
	}
	return &upgradedConn{conn, r}, sess.peer, errors.WithStack(conn.SetDeadline(time.Time{}))
}

// callOnce makes the only call on a connection.
func (s *stream) callOnce(method Method, params, result any) error {
	req := jsonrpc2.Request{Method: string(method), ID: jsonrpc2.ID{Num: 1}}
	if err := req.SetParams(params); err != nil {
		return errors.WithStack(err)
	}
	if err := s.WriteObject(&req); err != nil {
		return err
	}
	var resp jsonrpc2.Response
	if err := s.ReadObject(&resp); err != nil {
		return err
	}
	if resp.Error != nil {
		return decodeError(resp.Error)
	}
	if resp.Result == nil {
		return errors.WithStack(&RejectedError{ReasonMalformed})
	}
	return errors.WithStack(json.Unmarshal(*resp.Result, result))
}

// upgradedConn is a connection of which some bytes may have been read into the buffer.
type upgradedConn struct {
	net.Conn
	r *bufio.Reader
}

// Read implements net.Conn.
func (c *upgradedConn) Read(p []byte) (int, error) { return c.r.Read(p) } //nolint:wrapcheck // callers tell io.EOF from other errors

// serveUpgrade handles the only call of a connection, and hands the connection over.
func (s *Server) serveUpgrade(ctx context.Context, out *stream) {
	var req jsonrpc2.Request
	if err := out.conn.SetReadDeadline(time.Now().Add(s.cfg.HandshakeTimeout)); err != nil {
		return
	}
	if err := out.ReadObject(&req); err != nil {
		return
	}
	result, upgraded, err := s.callUpgrade(ctx, out.session.peer, &req)
	if upgraded != nil {
		defer upgraded.Close()
	}
	resp := &jsonrpc2.Response{ID: req.ID}
	if err != nil {
		resp.Error = encodeError(err)
	} else if err := resp.SetResult(result); err != nil {
		return
	}
	if out.WriteObject(resp) != nil || upgraded == nil {
		return
	}
	if out.conn.SetDeadline(time.Time{}) != nil || dial.Watch(out.conn) != nil {
		return
	}
	upgraded.Serve(&upgradedConn{out.conn, out.r})
}

// callUpgrade calls the handler of the method. A handler that panics fails the call.
func (s *Server) callUpgrade(ctx context.Context, from Identity, req *jsonrpc2.Request) (result any, upgraded Upgraded, err error) {
	defer func() {
		if recovered := recover(); recovered != nil {
			s.log.Emit(event.NewHandlerPanicked(req.Method, "", recovered))
			result, upgraded, err = nil, nil, errcode.New(errcode.Internal, "the handler of %s failed", req.Method)
		}
	}()
	s.mux.mu.RLock()
	handle := s.mux.upgrades[Method(req.Method)]
	s.mux.mu.RUnlock()
	if handle == nil {
		return nil, nil, errcode.New(errcode.BadRequest, "%s: no such upgrade method", req.Method)
	}
	params := json.RawMessage("{}")
	if req.Params != nil {
		params = *req.Params
	}
	return handle(ctx, from, params)
}
