// Package peer is the protocol between entry VMs: JSON-RPC 2.0 over TCP.
//
// A connection opens with a handshake in which both ends prove that they hold
// one of the keys of the settings, each over the other's nonce. From then on
// every message carries a message authentication code under a key of that
// connection and direction, over the message and its place in the sequence, so
// that a recorded message is refused wherever it is replayed.
package peer
