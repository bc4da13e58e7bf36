package platform

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Try makes one attempt at a transaction, bounded by timeout and AttemptTimeout.
// The error gives the reason for an unknown outcome or, with OutcomeNotApplied and
// no failed conditions, the reason why the write was refused.
func (c *Client) Try(class Class, txn wire.Txn, timeout time.Duration) (wire.TxnResult, Outcome, error) {
	body, err := encode(txn)
	if err != nil {
		return wire.TxnResult{}, OutcomeNotApplied, err
	}
	timeout = min(timeout, c.cfg.AttemptTimeout)
	got, err := c.attempt(request{class, fasthttp.MethodPost, wire.PathTxn, body}, timeout)
	return classify(got, err)
}

// classify returns the result and the outcome of one attempt.
func classify(got response, err error) (wire.TxnResult, Outcome, error) {
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

// Apply sends a transaction and retries it within the client's limits. After an
// unknown outcome it is retried only if it has conditions, so that it cannot be
// applied twice. The values that it puts must identify their writer, so that a
// retry that fails because an earlier attempt was applied can be distinguished
// from one that fails because of another writer.
func (c *Client) Apply(txn wire.Txn) (wire.TxnResult, Outcome, error) {
	w := write{client: c, txn: txn}
	result, err := retry(c, w.attempt)
	return result, w.outcome, err
}

// write is one transaction with the state of its attempts.
type write struct {
	client *Client
	txn    wire.Txn
	// maybeApplied is set once the outcome of an attempt was unknown.
	maybeApplied bool
	outcome      Outcome
}

// attempt makes one attempt and updates the outcome.
func (w *write) attempt(timeout time.Duration) (wire.TxnResult, error) {
	result, outcome, err := w.client.Try(ClassControlWrite, w.txn, timeout)
	switch {
	case outcome == OutcomeApplied:
		w.outcome = OutcomeApplied
		return result, nil
	case outcome == OutcomeUnknown:
		w.maybeApplied = true
		w.outcome = OutcomeUnknown
		if len(w.txn.Conditions) == 0 {
			return result, permanent(err)
		}
		return result, err
	case err != nil:
		w.outcome = OutcomeNotApplied
		if w.maybeApplied {
			w.outcome = OutcomeUnknown
		}
		return result, err
	}
	return w.resolveFailed(result)
}

// resolveFailed determines the outcome after a failed condition.
func (w *write) resolveFailed(result wire.TxnResult) (wire.TxnResult, error) {
	w.outcome = OutcomeNotApplied
	if !w.maybeApplied {
		return result, nil
	}
	if version, ok := ownWrite(w.txn, result.Failed); ok {
		w.outcome = OutcomeApplied
		return wire.TxnResult{Applied: true, Version: version}, nil
	}
	w.outcome = OutcomeUnknown
	return result, permanent(errors.WithStack(&SupersededError{result.Failed[0].Key}))
}

// ownWrite reports whether a row of a failed condition holds the value that the
// transaction puts there, which proves that an earlier attempt was applied. It
// returns the version that this attempt wrote.
func ownWrite(txn wire.Txn, failed []wire.Row) (int64, bool) {
	for _, row := range failed {
		for _, p := range txn.Puts {
			if p.Key == row.Key && row.Version != wire.AbsentVersion && bytes.Equal(p.Value, row.Value) {
				return row.Version, true
			}
		}
	}
	return 0, false
}

// PutObject writes an object. It is retried after any error, as writing the same
// object twice has no further effect.
func (c *Client) PutObject(key string, data []byte) error {
	return c.object(fasthttp.MethodPut, key, data)
}

// DeleteObject deletes an object if it exists.
func (c *Client) DeleteObject(key string) error {
	return c.object(fasthttp.MethodDelete, key, nil)
}

func (c *Client) object(method, key string, data []byte) error {
	_, err := retry(c, func(timeout time.Duration) (response, error) {
		got, err := c.attempt(request{ClassControlWrite, method, wire.PathObjects + key, data}, timeout)
		return got, checkStatus(wire.PathObjects, got.status, fasthttp.StatusNoContent, err)
	})
	return err
}
