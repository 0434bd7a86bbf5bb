package platform

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"time"

	"cresspass"
	"cresspass/internal/discovery/sse"
	"cresspass/internal/oserr"
	"cresspass/internal/wire"
)

// Config is the configuration of a dispatcher, which the platform writes as JSON.
type Config struct {
	Name          string          `json:"name"`
	Listen        string          `json:"listen"`
	Seed          string          `json:"seed"` // hex digits
	Limits        Limits          `json:"limits"`
	DiscoveryAddr string          `json:"board"`
	Known         KnownEvents     `json:"known"`
	Settings      json.RawMessage `json:"settings"`

	Module          cresspass.Config `json:"-"` // parsed from Settings and Seed
	ConnectTimeout  time.Duration    `json:"-"`
	ConnIdleTimeout time.Duration    `json:"-"` // after which compute nodes close an idle connection
}

// Limits are the resources that the platform grants to a dispatcher.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  int     `json:"sockets"` // file descriptors of all kinds
}

// KnownEvents are the discovery events that were known when the configuration was written.
type KnownEvents struct {
	Revision uint64           `json:"rev"`
	Events   []sse.WatchEvent `json:"notices"`
}

// Defaults of settings that a configuration may omit.
const (
	defaultConnectTimeout  = 250 * time.Millisecond
	defaultConnIdleTimeout = 10 * time.Second
)

// Retries of a file read that fails because the machine has no free descriptor or memory.
const (
	fileRetryDelay   = 20 * time.Millisecond
	maxFileReadTries = 10
)

// Load reads and parses a configuration file. It retries for a moment if the machine has no descriptor or
// memory to read it.
func Load(path string) (*Config, error) {
	data, err := readFileWithRetry(path)
	if err != nil {
		return nil, fmt.Errorf("platform: %w", err)
	}
	c, err := Parse(data)
	if err != nil {
		return nil, fmt.Errorf("platform: %s: %w", path, err)
	}
	return c, nil
}

// readFileWithRetry reads a file, and retries while the machine has no descriptor or memory for it.
func readFileWithRetry(path string) (data []byte, err error) {
	for range maxFileReadTries {
		if data, err = os.ReadFile(path); err == nil || !oserr.IsLocal(err) {
			break
		}
		time.Sleep(fileRetryDelay)
	}
	return data, err
}

// Parse parses a configuration. Its error names the field or the setting that is invalid.
func Parse(data []byte) (*Config, error) {
	c := &Config{}
	if err := json.Unmarshal(data, c); err != nil {
		return nil, err
	}
	if c.Listen == "" || c.DiscoveryAddr == "" {
		return nil, fmt.Errorf("listen is %q and board is %q; both are needed", c.Listen, c.DiscoveryAddr)
	}
	seed, err := strconv.ParseUint(c.Seed, 16, 64)
	if err != nil {
		return nil, fmt.Errorf("seed %q: want hex digits", c.Seed)
	}
	settings, err := flattenSettings(c.Settings)
	if err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	// The setting rng-seed has 63 bits.
	settings = append(settings, wire.Setting{Path: "rng-seed", Value: strconv.FormatUint(seed>>1, 10)})
	if c.Module, err = wire.ConfigFromSettings(settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	c.ConnectTimeout = microseconds(settings, "limits.connect-timeout-us", defaultConnectTimeout)
	c.ConnIdleTimeout = microseconds(settings, "limits.conn-idle-us", defaultConnIdleTimeout)
	return c, nil
}
