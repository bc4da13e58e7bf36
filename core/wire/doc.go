// Package wire has the messages of the protocols that cornelsaddle speaks with
// the platform (table service, object store, VM list, weight store) and with
// the endpoints (model engines, plain services). They are plain JSON bodies
// over HTTP; the package has no behaviour beyond small helpers.
package wire
