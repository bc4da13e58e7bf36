// Package peer implements the protocol between entry VMs: JSON-RPC 2.0 over TCP.
//
// A connection starts with a handshake in which each end proves possession of
// one of the shared keys in the settings, with a MAC that covers the nonces of
// both. After the handshake every message carries a message authentication code
// over its sequence number and contents, under a key that is specific to the
// connection and direction, so that a replayed message is rejected on any
// connection.
package peer
