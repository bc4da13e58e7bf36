package platform

import (
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/wire"
)

// Get reads a row; one with AbsentVersion if there is none.
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

// VMs reads the platform's list, which lags. The client divides the store's
// rate among the entry VMs.
func (c *Client) VMs() (wire.VMList, error) {
	var list wire.VMList
	err := c.read(fasthttp.MethodGet, wire.PathVMs, nil, &list)
	if err == nil {
		c.listed(list)
	}
	return list, err
}

// listed counts the entry VMs of the list: those with an address for peers.
func (c *Client) listed(list wire.VMList) {
	n := int64(0)
	for _, vm := range list.VMs {
		if vm.Peer != "" {
			n++
		}
	}
	if n > 0 {
		c.limits.listed.Store(n)
		c.limits.share()
	}
}

// GetObject reads an object.
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

// get repeats a read until it is answered. An answer that no repeat can change
// ends it.
func (c *Client) get(r request) (answer, error) {
	return retry(c, func(timeout time.Duration) (answer, error) {
		got, err := c.attempt(r, timeout)
		if err = expect(r.path, got.status, fasthttp.StatusOK, err); err == nil {
			return got, nil
		}
		if got.status == fasthttp.StatusNotFound || got.status == fasthttp.StatusBadRequest {
			return got, permanent(err)
		}
		return got, err
	})
}

func expect(path string, status, want int, err error) error {
	if err != nil {
		return err
	}
	if status != want {
		return errors.WithStack(&StatusError{path, status})
	}
	return nil
}
