package certs

import (
	"crypto/aes"
	"crypto/cipher"
	"encoding/hex"
	"fmt"
	"os"
	"strings"
)

// keyBytes is the length of a datagram key, which is an AES-256 key.
const keyBytes = 32

// Sealer encrypts and authenticates datagrams between nodes that share a key, with
// AES-256-GCM. A nil Sealer returns datagrams unchanged.
type Sealer struct{ aead cipher.AEAD }

// OpenSealer reads the key, 32 bytes in hex, from a file. It returns nil if the
// path is empty.
func OpenSealer(path string) (*Sealer, error) {
	if path == "" {
		return nil, nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("cannot read gossip key %s: %w", path, err)
	}
	key, err := hex.DecodeString(strings.TrimSpace(string(text)))
	if err != nil || len(key) != keyBytes {
		return nil, fmt.Errorf("gossip key %s is not %d bytes in hex; generate one with 'openssl rand -hex %d'", path, keyBytes, keyBytes)
	}
	block, err := aes.NewCipher(key)
	if err != nil {
		return nil, err
	}
	aead, err := cipher.NewGCMWithRandomNonce(block)
	if err != nil {
		return nil, err
	}
	return &Sealer{aead: aead}, nil
}

// Seal encrypts a datagram.
func (s *Sealer) Seal(data []byte) []byte {
	if s == nil {
		return data
	}
	return s.aead.Seal(nil, nil, data, nil)
}

// Unseal decrypts a datagram. It returns an error if the datagram was not sealed
// with the key or was modified.
func (s *Sealer) Unseal(data []byte) ([]byte, error) {
	if s == nil {
		return data, nil
	}
	return s.aead.Open(nil, nil, data, nil)
}
