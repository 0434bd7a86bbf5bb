package membership

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"
)

// SetKeys replaces the keys in use: all are accepted for received traffic, the first is used to send. A fleet
// changes its key in three steps, each of them at all members before the next: add the new key after the old
// key, move the new key before the old key, remove the old key. If a key is invalid, nothing is changed.
func (s *Service) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return ErrNoKeys
	}
	for _, key := range keys { // all are checked before the first is added
		if err := memberlist.ValidateKey(key); err != nil {
			return fmt.Errorf("membership: check key: %w", err)
		}
	}
	for _, key := range keys {
		if err := s.keyring.AddKey(key); err != nil {
			return fmt.Errorf("membership: add key: %w", err)
		}
	}
	if err := s.keyring.UseKey(keys[0]); err != nil {
		return fmt.Errorf("membership: use key: %w", err)
	}
	for _, installed := range s.keyring.GetKeys() {
		wanted := slices.ContainsFunc(keys, func(key []byte) bool { return bytes.Equal(key, installed) })
		if wanted {
			continue
		}
		if err := s.keyring.RemoveKey(installed); err != nil {
			return fmt.Errorf("membership: remove key: %w", err)
		}
	}
	return nil
}
