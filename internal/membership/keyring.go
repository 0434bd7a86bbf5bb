package membership

import (
	"bytes"
	"fmt"
	"slices"

	"github.com/hashicorp/memberlist"
)

// SetKeys changes the keys in service: all are accepted, the first is used. A fleet changes its key in three
// steps, each at all members before the next: the new key is added behind the old, then put before it, then
// the old one is removed. An error says that nothing has changed.
func (s *Service) SetKeys(keys [][]byte) error {
	if len(keys) == 0 {
		return ErrNoKeys
	}
	for _, key := range keys { // all of them before the first is in service
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
