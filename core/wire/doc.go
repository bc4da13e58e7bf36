// Package wire defines the messages of the protocols between cornelsaddle and
// the platform (table service, object store, VM list, weight store) and between
// cornelsaddle and the endpoints (model engines, plain services). They are sent
// as JSON bodies over HTTP; the package has no logic beyond small helpers.
package wire
