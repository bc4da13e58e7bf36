package platform

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
	"cornelsaddle.example/cornelsaddle/internal/dial"
)

// Get reads a row. A row that does not exist is returned with AbsentVersion.
func (c *Client) Get(key string) (wire.Row, error) {
	var row wire.Row
	return row, c.read(fasthttp.MethodGet, wire.PathRows+key, nil, &row)
}

// Scan lists rows by prefix.
func (c *Client) Scan(scan wire.Scan) (wire.ScanResult, error) {
	var result wire.ScanResult
	body, err := encode(scan)
	if err != nil {
		return result, err
	}
	return result, c.read(fasthttp.MethodPost, wire.PathScan, body, &result)
}

// VMs reads the platform's VM list, which lags behind the actual VMs. The client
// takes the number of entry VMs from it to divide the store's rate.
func (c *Client) VMs() (wire.VMList, error) {
	var list wire.VMList
	err := c.read(fasthttp.MethodGet, wire.PathVMs, nil, &list)
	if err == nil {
		c.setListed(list)
	}
	return list, err
}

// setListed updates the number of entry VMs from the list. Entry VMs are those with
// a peer address; a list without any is ignored.
func (c *Client) setListed(list wire.VMList) {
	n := int64(0)
	for _, vm := range list.VMs {
		if vm.Peer != "" {
			n++
		}
	}
	if n > 0 {
		c.limits.listed.Store(n)
		c.limits.updateShare()
	}
}

// GetObject reads an object. Use IsNotFound to test the error for an object that
// does not exist.
func (c *Client) GetObject(key string) ([]byte, error) {
	got, err := c.get(request{ClassRead, fasthttp.MethodGet, wire.PathObjects + key, nil})
	return got.body, err
}

func (c *Client) read(method, path string, body []byte, into any) error {
	got, err := c.get(request{ClassRead, method, path, body})
	if err != nil {
		return err
	}
	return errors.WithStack(json.Unmarshal(got.body, into))
}

// get sends a read request and retries it within the client's limits. The statuses
// 404 and 400 are not retried, as a retry would not change them, and neither is a
// response over its bound of bytes.
func (c *Client) get(r request) (response, error) {
	return retry(c, func(timeout time.Duration) (response, error) {
		got, err := c.attempt(r, timeout)
		if err = checkStatus(r.path, got.status, fasthttp.StatusOK, err); err == nil {
			return got, nil
		}
		if dial.OverBound(err) || got.status == fasthttp.StatusNotFound || got.status == fasthttp.StatusBadRequest {
			return got, permanent(err)
		}
		return got, err
	})
}

// checkStatus returns err, or a StatusError if err is nil and status is not want.
func checkStatus(path string, status, want int, err error) error {
	if err != nil {
		return err
	}
	if status != want {
		return errors.WithStack(&StatusError{path, status})
	}
	return nil
}
