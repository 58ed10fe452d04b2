package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"waxwingwall"
)

// KeyBytes is the number of random bytes in a key.
const KeyBytes = 32

// keyPrefix identifies a key to scanners for leaked secrets.
const keyPrefix = "ww_"

// NewKey generates a key from a source of randomness and returns it with its
// hash.
func NewKey(random io.Reader) (key, hash string, err error) {
	raw := make([]byte, KeyBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", "", err
	}
	key = keyPrefix + base64.RawURLEncoding.EncodeToString(raw)
	return key, HashKey(key), nil
}

// HashKey returns the SHA-256 of a key in lower-case hex.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// VerifyKey reports whether a key matches a hash, in constant time.
func VerifyKey(key, hash string) bool {
	return subtle.ConstantTimeCompare([]byte(HashKey(key)), []byte(hash)) == 1
}

// ParseKeyHash parses a hash as returned by HashKey.
func ParseKeyHash(s string) (string, error) {
	raw, err := hex.DecodeString(s)
	if err != nil || len(raw) != sha256.Size || hex.EncodeToString(raw) != s {
		return "", errors.New("not a SHA-256 in lower-case hex")
	}
	return s, nil
}

// KeyTable maps keys to client accounts.
type KeyTable struct {
	// accounts maps key hashes to accounts. A hash reveals nothing about its key,
	// so lookups need not take constant time.
	accounts map[string]waxwingwall.Account
}

// KeyTable returns the table of a document's keys.
func (d *Document) KeyTable() KeyTable {
	t := KeyTable{
		accounts: make(map[string]waxwingwall.Account),
	}
	for _, a := range d.Accounts {
		for _, h := range a.KeyHashes {
			t.accounts[h] = a.Name
		}
	}
	return t
}

// Match returns the client account of a key.
func (t KeyTable) Match(key string) (waxwingwall.Account, bool) {
	hash := HashKey(key)
	name, ok := t.accounts[hash]
	return name, ok
}

// MatchKey returns the client account of a key. It compares the key's hash in
// constant time with every hash of the document; use KeyTable for large
// documents.
func MatchKey(d *Document, key string) (waxwingwall.Account, bool) {
	hash := []byte(HashKey(key))
	var found waxwingwall.Account
	var ok bool
	for _, a := range d.Accounts {
		for _, h := range a.KeyHashes {
			if subtle.ConstantTimeCompare(hash, []byte(h)) == 1 {
				found = a.Name
				ok = true
			}
		}
	}
	return found, ok
}

// shortHash returns the first characters of a hash, enough to distinguish keys.
func shortHash(hash string) string {
	return fmt.Sprintf("%.8s", hash)
}
