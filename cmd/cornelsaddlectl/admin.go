package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/node"
)

// adminTimeout bounds one request to a VM.
const adminTimeout = 2 * time.Second

// tokenVariable is the environment variable that holds the admin token where no
// file is named.
const tokenVariable = "CORNELSADDLE_ADMIN_TOKEN"

// admins is the flags that name VMs and the token.
type admins struct {
	addresses *string
	file      *string
}

func newAdmins(c *invocation) *admins {
	return &admins{
		addresses: c.String("admin", "", "VMs' admin listeners: IP:PORT, separated by commas"),
		file:      c.String("token-file", "", "file with the admin token; else "+tokenVariable),
	}
}

// list returns the addresses.
func (a *admins) list() []string {
	if *a.addresses == "" {
		return nil
	}
	return strings.Split(*a.addresses, ",")
}

// token returns the admin token.
func (a *admins) token() (string, error) {
	if *a.file == "" {
		return os.Getenv(tokenVariable), nil
	}
	data, err := os.ReadFile(*a.file)
	return strings.TrimSpace(string(data)), errors.WithStack(err)
}

// askStatus asks a VM for its status.
func askStatus(address, token string) (node.Status, error) {
	var s node.Status
	body, err := askVM(fasthttp.MethodGet, address, "/status", token)
	if err != nil {
		return s, err
	}
	return s, errors.WithStack(json.Unmarshal(body, &s))
}

// askVM sends one request to a VM's admin listener.
func askVM(method, address, path, token string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+token)
	if err := fasthttp.DoTimeout(req, res, adminTimeout); err != nil {
		return nil, errors.Wrap(err, address)
	}
	switch res.StatusCode() {
	case fasthttp.StatusOK, fasthttp.StatusAccepted:
		return append([]byte(nil), res.Body()...), nil
	case fasthttp.StatusUnauthorized:
		return nil, errcode.New(errcode.Unauthorized, "%s refused the admin token", address)
	}
	return nil, errcode.New(errcode.Internal, "%s answered %d", address, res.StatusCode())
}
