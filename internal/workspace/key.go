package workspace

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	keyPrefix = "mh-" // of API keys, so that leaked ones are recognised
	keyBytes  = 32    // random bytes of an API key
)

// NewKey returns a random API key.
func NewKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // never fails
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// HashKey returns the hash of an API key as it stands in the table.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
