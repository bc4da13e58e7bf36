package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"encoding/json"
	"net"
	"time"

	"github.com/pkg/errors"
)

const (
	nonceBytes = 16
	keyIDBytes = 8
	// maxHandshakeBytes bounds a handshake message, whose sender is not yet
	// authenticated.
	maxHandshakeBytes = 1 << 10
)

// hello is the client's first message; it selects the key of the connection.
type hello struct {
	Identity
	Nonce []byte `json:"nonce"`
	KeyID []byte `json:"key_id"`
	// Upgrade asks for a connection that is handed over after its first call. Servers of
	// earlier builds ignore it and answer that they don't know the method.
	Upgrade bool `json:"upgrade,omitempty"`
}

// challenge is the server's response to a hello; its MAC proves that the server
// has the key.
type challenge struct {
	Identity
	Nonce []byte `json:"nonce"`
	MAC   []byte `json:"mac"`
}

// proof is the client's last message; its MAC proves that the client has the key.
type proof struct {
	MAC []byte `json:"mac"`
}

// session is the result of a handshake: the identity of the other end and the MAC
// keys of the two directions.
type session struct {
	peer       Identity
	sendKey    []byte
	receiveKey []byte
	// upgrade is set if the client hands the connection over after its first call.
	upgrade bool
}

// keyID returns an identifier of a key that does not reveal the key.
func keyID(key string) []byte {
	return mac([]byte(key), "key-id", nil)[:keyIDBytes]
}

func mac(key []byte, label string, data []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte(label))
	h.Write([]byte{0})
	h.Write(data)
	return h.Sum(nil)
}

// transcript returns a digest of the identities, nonces and key ID in the
// handshake. Each field is prefixed with its length, so that different values
// cannot give the same input.
func transcript(h hello, c challenge) []byte {
	sum := sha256.New()
	field := func(data []byte) {
		sum.Write(binary.BigEndian.AppendUint32(nil, uint32(len(data))))
		sum.Write(data)
	}
	number := func(n int64) { field(binary.BigEndian.AppendUint64(nil, uint64(n))) }
	field([]byte(h.VM))
	number(h.Incarnation)
	field(h.Nonce)
	field(h.KeyID)
	field([]byte(c.VM))
	number(c.Incarnation)
	field(c.Nonce)
	return sum.Sum(nil)
}

func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce)
	return nonce
}

// handshaker performs handshakes for one VM.
type handshaker struct {
	self    Identity
	keys    []string
	timeout time.Duration
	// upgrade is the Upgrade field of the client's hello.
	upgrade bool
}

// connect performs the client's side of a handshake with the first key. It
// returns a RejectedError if the server's proof or a message is not valid.
func (s handshaker) connect(conn net.Conn, r *bufio.Reader) (session, error) {
	key := s.keys[0]
	h := hello{Identity: s.self, Nonce: newNonce(), KeyID: keyID(key), Upgrade: s.upgrade}
	if err := s.write(conn, h); err != nil {
		return session{}, err
	}
	var c challenge
	if err := s.read(conn, r, &c); err != nil {
		return session{}, err
	}
	t := transcript(h, c)
	if !hmac.Equal(c.MAC, mac([]byte(key), "server", t)) {
		return session{}, errors.WithStack(&RejectedError{ReasonBadProof})
	}
	if err := s.write(conn, proof{mac([]byte(key), "client", t)}); err != nil {
		return session{}, err
	}
	return session{
		peer:       c.Identity,
		sendKey:    mac([]byte(key), "client-to-server", t),
		receiveKey: mac([]byte(key), "server-to-client", t),
	}, conn.SetDeadline(time.Time{})
}

// accept performs the server's side of a handshake; the client may use any of the
// server's keys. It returns a RejectedError if the key is unknown, or if the
// client's proof or a message is not valid.
func (s handshaker) accept(conn net.Conn, r *bufio.Reader) (session, error) {
	var h hello
	if err := s.read(conn, r, &h); err != nil {
		return session{}, err
	}
	key, ok := s.findKey(h.KeyID)
	if !ok {
		return session{}, errors.WithStack(&RejectedError{ReasonUnknownKey})
	}
	c := challenge{Identity: s.self, Nonce: newNonce()}
	t := transcript(h, c)
	c.MAC = mac([]byte(key), "server", t)
	if err := s.write(conn, c); err != nil {
		return session{}, err
	}
	var p proof
	if err := s.read(conn, r, &p); err != nil {
		return session{}, err
	}
	if !hmac.Equal(p.MAC, mac([]byte(key), "client", t)) {
		return session{}, errors.WithStack(&RejectedError{ReasonBadProof})
	}
	return session{
		peer:       h.Identity,
		sendKey:    mac([]byte(key), "server-to-client", t),
		receiveKey: mac([]byte(key), "client-to-server", t),
		upgrade:    h.Upgrade,
	}, conn.SetDeadline(time.Time{})
}

func (s handshaker) findKey(id []byte) (string, bool) {
	for _, k := range s.keys {
		if hmac.Equal(id, keyID(k)) {
			return k, true
		}
	}
	return "", false
}

func (s handshaker) write(conn net.Conn, v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return errors.WithStack(err)
	}
	if err := conn.SetDeadline(time.Now().Add(s.timeout)); err != nil {
		return errors.WithStack(err)
	}
	_, err = conn.Write(appendFrame(nil, data))
	return errors.WithStack(err)
}

func (s handshaker) read(conn net.Conn, r *bufio.Reader, v any) error {
	if err := conn.SetDeadline(time.Now().Add(s.timeout)); err != nil {
		return errors.WithStack(err)
	}
	data, err := readFrame(r, maxHandshakeBytes)
	if err != nil {
		return err
	}
	if json.Unmarshal(data, v) != nil {
		return errors.WithStack(&RejectedError{ReasonMalformed})
	}
	return nil
}
