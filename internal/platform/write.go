package platform

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Try carries out a transaction with one attempt that ends after timeout. The
// error says why an outcome is unknown or, with OutcomeNotApplied and no failed
// conditions, why the write was refused.
func (c *Client) Try(class Class, txn wire.Txn, timeout time.Duration) (wire.TxnResult, Outcome, error) {
	body, err := encode(txn)
	if err != nil {
		return wire.TxnResult{}, OutcomeNotApplied, err
	}
	timeout = min(timeout, c.cfg.AttemptTimeout)
	got, err := c.attempt(request{class, fasthttp.MethodPost, wire.PathTxn, body}, timeout)
	return judge(got, err)
}

// judge tells the outcome of one attempt.
func judge(got answer, err error) (wire.TxnResult, Outcome, error) {
	var notSent *NotSentError
	switch {
	case errors.As(err, &notSent):
		return wire.TxnResult{}, OutcomeNotApplied, err
	case err != nil:
		return wire.TxnResult{}, OutcomeUnknown, err
	case got.notApplied:
		return wire.TxnResult{}, OutcomeNotApplied, errors.WithStack(&StatusError{wire.PathTxn, got.status})
	}
	var result wire.TxnResult
	err = json.Unmarshal(got.body, &result)
	switch {
	case err == nil && got.status == fasthttp.StatusOK && result.Applied:
		return result, OutcomeApplied, nil
	case err == nil && got.status == fasthttp.StatusConflict && len(result.Failed) > 0:
		return result, OutcomeNotApplied, nil
	}
	return wire.TxnResult{}, OutcomeUnknown, errors.WithStack(&StatusError{wire.PathTxn, got.status})
}

// Apply carries out a transaction and repeats it within the client's bounds. A
// transaction is only repeated after an unknown outcome if it has conditions,
// so that it cannot be applied twice; the values that it puts must name their
// writer, so that a repeat that fails because the first copy was applied is
// told from one that lost to another writer.
func (c *Client) Apply(txn wire.Txn) (wire.TxnResult, Outcome, error) {
	w := write{client: c, txn: txn}
	result, err := retry(c, w.attempt)
	return result, w.outcome, err
}

// write is one transaction over all its attempts.
type write struct {
	client *Client
	txn    wire.Txn
	// maybe is set once an attempt's outcome was unknown.
	maybe   bool
	outcome Outcome
}

// attempt makes one attempt and notes the outcome so far.
func (w *write) attempt(timeout time.Duration) (wire.TxnResult, error) {
	result, outcome, err := w.client.Try(ClassControlWrite, w.txn, timeout)
	switch {
	case outcome == OutcomeApplied:
		w.outcome = OutcomeApplied
		return result, nil
	case outcome == OutcomeUnknown:
		w.maybe = true
		w.outcome = OutcomeUnknown
		if len(w.txn.Conditions) == 0 {
			return result, permanent(err)
		}
		return result, err
	case err != nil:
		w.outcome = OutcomeNotApplied
		if w.maybe {
			w.outcome = OutcomeUnknown
		}
		return result, err
	}
	return w.failed(result)
}

// failed handles a failed condition.
func (w *write) failed(result wire.TxnResult) (wire.TxnResult, error) {
	w.outcome = OutcomeNotApplied
	if !w.maybe {
		return result, nil
	}
	if version, ok := Mine(w.txn, result.Failed); ok {
		w.outcome = OutcomeApplied
		return wire.TxnResult{Applied: true, Version: version}, nil
	}
	w.outcome = OutcomeUnknown
	return result, permanent(errors.WithStack(&SupersededError{result.Failed[0].Key}))
}

// Mine reports whether a row that failed a condition holds the very value that
// the transaction puts there, and so proves that an earlier copy of it was
// applied. It returns the version that the copy wrote.
func Mine(txn wire.Txn, failed []wire.Row) (int64, bool) {
	for _, row := range failed {
		for _, p := range txn.Puts {
			if p.Key == row.Key && row.Version != wire.AbsentVersion && bytes.Equal(p.Value, row.Value) {
				return row.Version, true
			}
		}
	}
	return 0, false
}

// PutObject writes an object. It is repeated, as writing an object twice does
// no harm.
func (c *Client) PutObject(key string, data []byte) error {
	return c.object(fasthttp.MethodPut, key, data)
}

// DeleteObject removes an object, if there is one.
func (c *Client) DeleteObject(key string) error {
	return c.object(fasthttp.MethodDelete, key, nil)
}

func (c *Client) object(method, key string, data []byte) error {
	_, err := retry(c, func(timeout time.Duration) (answer, error) {
		got, err := c.attempt(request{ClassControlWrite, method, wire.PathObjects + key, data}, timeout)
		return got, expect(wire.PathObjects, got.status, fasthttp.StatusNoContent, err)
	})
	return err
}
