// Package errcode defines the errors that cornelsaddle returns to its callers
// and its peers: an error code, whether the request was started at an endpoint,
// and when to retry. Codes are passed between processes unchanged.
// docs/ERRORS.md lists them.
package errcode
