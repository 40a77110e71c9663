package table

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base32"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"strings"

	"ragwortshunt.example/fleet/id"
)

// The faults of a presented key. Their texts do not contain the key.
var (
	ErrMalformedKey = errors.New("the key is malformed")
	ErrUnknownKey   = errors.New("the key is unknown")
	ErrWithdrawnKey = errors.New("the key is withdrawn")
)

// keyPrefix starts every presented key.
const keyPrefix = "rws-"

// The sizes of new keys, in bytes.
const (
	secretBytes = 20 // 160 random bits, 32 characters
	saltBytes   = 16
)

// The accepted lengths of a secret, in characters. 26 characters of base 32
// carry 128 bits.
const (
	minSecret = 26
	maxSecret = 128
)

var secretEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// NewKey makes a key from the random source. The presented form is
// "rws-<key-id>-<secret>"; it cannot be recovered from the row.
func NewKey(rand io.Reader, keyID id.KeyID, account id.Account) (presented string, row Key, err error) {
	if !validName(string(keyID)) {
		return "", Key{}, fmt.Errorf("key ID %q is not a name", clip(string(keyID)))
	}
	if !validName(string(account)) {
		return "", Key{}, fmt.Errorf("account %q is not a name", clip(string(account)))
	}
	random := make([]byte, secretBytes+saltBytes)
	if _, err := io.ReadFull(rand, random); err != nil {
		return "", Key{}, fmt.Errorf("read random bytes: %w", err)
	}
	secret := secretEncoding.EncodeToString(random[:secretBytes])
	salt := random[secretBytes:]
	row = Key{
		ID:      keyID,
		Account: account,
		Salt:    hex.EncodeToString(salt),
		Hash:    hex.EncodeToString(hashSecret(salt, secret)),
		State:   StateActive,
	}
	return keyPrefix + string(keyID) + "-" + secret, row, nil
}

// Authenticate returns the row of a presented key. Its error is ErrMalformedKey,
// ErrUnknownKey (also for a wrong secret) or ErrWithdrawnKey.
func Authenticate(s *Snapshot, presented string) (Key, error) {
	keyID, secret, ok := splitKey(presented)
	if !ok {
		return Key{}, ErrMalformedKey
	}
	key, ok := s.Keys[keyID]
	if !ok {
		return Key{}, ErrUnknownKey
	}
	salt, errSalt := hex.DecodeString(key.Salt)
	want, errHash := hex.DecodeString(key.Hash)
	if errSalt != nil || errHash != nil {
		return Key{}, ErrUnknownKey
	}
	if subtle.ConstantTimeCompare(hashSecret(salt, secret), want) != 1 {
		return Key{}, ErrUnknownKey
	}
	if key.State != StateActive {
		return Key{}, ErrWithdrawnKey
	}
	return key, nil
}

// splitKey separates key ID and secret. A key ID can contain hyphens, a secret
// cannot.
func splitKey(presented string) (id.KeyID, string, bool) {
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	if !ok || len(rest) > maxName+1+maxSecret {
		return "", "", false
	}
	at := strings.LastIndexByte(rest, '-')
	if at < 0 {
		return "", "", false
	}
	keyID, secret := rest[:at], rest[at+1:]
	if !validName(keyID) || !validSecret(secret) {
		return "", "", false
	}
	return id.KeyID(keyID), secret, true
}

func validSecret(v string) bool {
	if len(v) < minSecret || len(v) > maxSecret {
		return false
	}
	for _, c := range []byte(v) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// hashSecret returns SHA-256 over the salt bytes and the secret.
func hashSecret(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}
