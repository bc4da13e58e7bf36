// Package errcode has the failures that cornelsaddle tells its callers and its
// peers about: a code, whether the request ran, and when to come back. Codes
// are carried across processes unchanged. docs/ERRORS.md lists them.
package errcode
