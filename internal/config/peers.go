package config

import (
	"encoding/hex"
	"fmt"
	"time"
)

// PeersBlock is the block of the gossip among dispatchers.
type PeersBlock struct {
	Listen string   `hcl:"listen"`
	Name   string   `hcl:"name,optional"`
	Seeds  []string `hcl:"seeds,optional"`
	Keys   []string `hcl:"keys"` // hexadecimal; all are accepted, the first one is used to send
	Rate   int      `hcl:"rate,optional"`
	Wait   string   `hcl:"wait,optional"` // at start, for the model state of other dispatchers
}

// PeerSettings holds the settings of the gossip among dispatchers. If Listen is empty, there is no gossip.
type PeerSettings struct {
	Listen, Name string
	Seeds        []string
	Keys         [][]byte
	Rate         int // bytes a second
	Wait         time.Duration
}

// withKeys returns a copy of the settings with other keys.
func (p PeerSettings) withKeys(keys [][]byte) PeerSettings {
	p.Keys = keys
	return p
}

const (
	defaultPeerRate = 50000
	defaultPeerWait = time.Second
)

// applyPeers checks the block. Without the block there is no gossip.
func (v *validator) applyPeers(cfg *Config, b *PeersBlock) {
	if b == nil {
		return
	}
	in, settings := inBlock("peers"), &cfg.Peers
	settings.Listen, settings.Seeds = b.Listen, b.Seeds
	settings.Name = orDefault(b.Name, fmt.Sprintf("cresspass-%d", cfg.Module.Ordinal))
	settings.Rate = v.nonNegative("peers", b.Rate, defaultPeerRate)
	settings.Wait = v.duration(in, "wait", b.Wait, defaultPeerWait)
	for _, addr := range append([]string{b.Listen}, b.Seeds...) {
		v.loopback(in, "listen", addr)
	}
	for i, text := range b.Keys {
		key, err := hex.DecodeString(text)
		if err != nil || !isKeySize(len(key)) {
			v.errorf(in, "keys", "key %d is not 16, 24 or 32 bytes in hexadecimal", i+1)
			continue
		}
		settings.Keys = append(settings.Keys, key)
	}
	if len(b.Keys) == 0 {
		v.errorf(in, "keys", "no key is given")
	}
	cfg.Module.MayGossip = true
}

// isKeySize reports whether n bytes is a key size of AES.
func isKeySize(n int) bool { return n == 16 || n == 24 || n == 32 }
