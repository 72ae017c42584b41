package workspace

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

const (
	keyPrefix = "mh-" // lets scanners recognise leaked API keys
	keyBytes  = 32    // random bytes per API key
)

// NewKey returns a random API key.
func NewKey() string {
	raw := make([]byte, keyBytes)
	_, _ = rand.Read(raw) // crypto/rand.Read never returns an error
	return keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
}

// HashKey returns the hash of an API key in the form of the table: SHA-256 in hexadecimal.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
