package config

import (
	"crypto/sha256"
	"encoding/base32"
	"fmt"
	"io"
	"strings"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	keyPrefix      = "rl_"
	keyIDBytes     = 10
	keySecretBytes = 32
)

func keyEncoding() *base32.Encoding {
	return base32.NewEncoding("abcdefghijklmnopqrstuvwxyz234567").WithPadding(base32.NoPadding)
}

// NewKey generates an API key for a customer. The secret is the whole text of
// the key and is not stored; the returned resource holds only its hash.
func NewKey(random io.Reader, customer, note string) (secret string, key *statev1.Key, err error) {
	raw := make([]byte, keyIDBytes+keySecretBytes)
	if _, err := io.ReadFull(random, raw); err != nil {
		return "", nil, fmt.Errorf("read random bytes for a key: %w", err)
	}
	id := keyEncoding().EncodeToString(raw[:keyIDBytes])
	secret = keyPrefix + id + "_" + keyEncoding().EncodeToString(raw[keyIDBytes:])
	sum := sha256.Sum256([]byte(secret))
	key = &statev1.Key{Id: id, Customer: customer, Note: note, SecretSha256: sum[:]}
	return secret, key, nil
}

// KeyID returns the identifier in a key's text, or the empty string if the text
// does not have the format of a key.
func KeyID(secret string) string {
	rest, ok := strings.CutPrefix(secret, keyPrefix)
	if !ok {
		return ""
	}
	end := strings.LastIndexByte(rest, '_')
	if end <= 0 {
		return ""
	}
	return rest[:end]
}
