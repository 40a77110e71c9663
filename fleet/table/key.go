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

// Errors of Authenticate. Their messages do not contain the key.
var (
	ErrMalformedKey = errors.New("the key is malformed")
	ErrUnknownKey   = errors.New("the key is unknown")
	ErrWithdrawnKey = errors.New("the key is withdrawn")
)

// keyPrefix is the prefix of every presented key.
const keyPrefix = "rws-"

// The sizes of the random parts of a new key, in bytes.
const (
	secretBytes = 20 // 160 random bits, 32 characters
	saltBytes   = 16
)

// The accepted lengths of a secret, in characters. 26 base32 characters encode at
// least 128 bits.
const (
	minSecretLength = 26
	maxSecretLength = 128
)

var secretEncoding = base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)

// NewKey generates a key with random bytes from rand. The presented form is
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

// splitKey splits a presented key into key ID and secret. It splits at the last
// hyphen, as a key ID can contain hyphens but a secret cannot.
func splitKey(presented string) (id.KeyID, string, bool) {
	rest, ok := strings.CutPrefix(presented, keyPrefix)
	if !ok || len(rest) > maxNameBytes+1+maxSecretLength {
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
	if len(v) < minSecretLength || len(v) > maxSecretLength {
		return false
	}
	for _, c := range []byte(v) {
		if (c < 'a' || c > 'z') && (c < '0' || c > '9') {
			return false
		}
	}
	return true
}

// hashSecret returns the SHA-256 of the salt bytes followed by the secret.
func hashSecret(salt []byte, secret string) []byte {
	h := sha256.New()
	h.Write(salt)
	h.Write([]byte(secret))
	return h.Sum(nil)
}
