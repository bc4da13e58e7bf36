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
	// maxHandshakeBytes bounds a message of one that has proved nothing yet.
	maxHandshakeBytes = 1 << 10
)

// hello opens a connection.
type hello struct {
	Identity
	Nonce []byte `json:"nonce"`
	KeyID []byte `json:"key_id"`
}

// challenge answers a hello and proves the server's key.
type challenge struct {
	Identity
	Nonce []byte `json:"nonce"`
	MAC   []byte `json:"mac"`
}

// proof proves the client's key.
type proof struct {
	MAC []byte `json:"mac"`
}

// session is what both ends know after the handshake.
type session struct {
	peer     Identity
	sendKey  []byte
	checkKey []byte
}

// keyID names a key without telling it.
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

// transcript binds all that both ends said of themselves.
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

// handshaker carries out handshakes for one end.
type handshaker struct {
	self    Identity
	keys    []string
	timeout time.Duration
}

// connect is the client's part; it proves the first key.
func (s handshaker) connect(conn net.Conn, r *bufio.Reader) (session, error) {
	key := s.keys[0]
	h := hello{Identity: s.self, Nonce: newNonce(), KeyID: keyID(key)}
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
		peer:     c.Identity,
		sendKey:  mac([]byte(key), "client-to-server", t),
		checkKey: mac([]byte(key), "server-to-client", t),
	}, conn.SetDeadline(time.Time{})
}

// accept is the server's part; any of its keys will do.
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
		peer:     h.Identity,
		sendKey:  mac([]byte(key), "server-to-client", t),
		checkKey: mac([]byte(key), "client-to-server", t),
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
