package gateway

import "cornelsaddle.example/cornelsaddle/core/quarantine"

// digest returns the digest that identifies what the caller asks for: by the method, host,
// URI, organisation and body.
func (x *exchange) digest() string {
	return quarantine.Digest([]byte(x.r.Method), []byte(x.r.Host), []byte(x.r.RequestURI), []byte(x.organisation), x.body)
}
