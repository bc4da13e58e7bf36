package main

import (
	"encoding/json"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"cornelsaddle.example/cornelsaddle/core/errcode"
	"cornelsaddle.example/cornelsaddle/internal/dial"
	"cornelsaddle.example/cornelsaddle/internal/node"
)

const (
	// adminTimeout bounds one request to a VM.
	adminTimeout = 2 * time.Second
	// maxAdminBytes bounds the body of a VM's response, in bytes.
	maxAdminBytes = 16 << 20
)

// adminClient sends the requests to VMs.
var adminClient = &fasthttp.Client{
	MaxIdemponentCallAttempts: 1,
	RetryIfErr:                dial.NoRetry,
	ReadBufferSize:            dial.MaxHeadBytes,
	MaxResponseBodySize:       maxAdminBytes,
	ConfigureClient:           dial.OmitHeads,
}

// tokenEnvVar is the environment variable that holds the admin token if
// -token-file is not set.
const tokenEnvVar = "CORNELSADDLE_ADMIN_TOKEN"

// adminFlags holds the flags for the VMs' admin listeners and the admin token.
type adminFlags struct {
	addresses *string
	file      *string
}

// newAdminFlags registers the flags with the command.
func newAdminFlags(c *invocation) *adminFlags {
	return &adminFlags{
		addresses: c.String("admin", "", "addresses of the VMs' admin listeners: IP:PORT, comma-separated"),
		file:      c.String("token-file", "", "file with the admin token; if not set, the token is read from "+tokenEnvVar),
	}
}

// list returns the addresses of -admin, or nil if it is not set.
func (a *adminFlags) list() []string {
	if *a.addresses == "" {
		return nil
	}
	return strings.Split(*a.addresses, ",")
}

// token returns the admin token from -token-file or, if that is not set, from the
// environment.
func (a *adminFlags) token() (string, error) {
	if *a.file == "" {
		return os.Getenv(tokenEnvVar), nil
	}
	data, err := os.ReadFile(*a.file)
	return strings.TrimSpace(string(data)), errors.WithStack(err)
}

// getStatus returns the status of a VM.
func getStatus(address, token string) (node.Status, error) {
	var s node.Status
	body, err := sendAdminRequest(fasthttp.MethodGet, address, "/status", token)
	if err != nil {
		return s, err
	}
	return s, errors.WithStack(json.Unmarshal(body, &s))
}

// sendAdminRequest sends one request to a VM's admin listener and returns the
// response body. Any status other than 200 and 202 is an error.
func sendAdminRequest(method, address, path, token string) ([]byte, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	res := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(res)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set("Authorization", "Bearer "+token)
	if err := adminClient.DoTimeout(req, res, adminTimeout); err != nil {
		return nil, errors.Wrap(dial.BoundError(err, maxAdminBytes), address)
	}
	switch res.StatusCode() {
	case fasthttp.StatusOK, fasthttp.StatusAccepted:
		return append([]byte(nil), res.Body()...), nil
	case fasthttp.StatusUnauthorized:
		return nil, errcode.New(errcode.Unauthorized, "%s rejected the admin token", address)
	}
	return nil, errcode.New(errcode.Internal, "%s returned HTTP status %d", address, res.StatusCode())
}
