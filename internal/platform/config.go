// Package platform is the platform's protocol as a front and a back of the dispatcher: clients speak Thrift
// in frames, compute nodes HTTP/1.1, and a notice board tells of them in server-sent events. It shells
// package dispatch; what it decides itself is the protocol's: which connection, what to ask again, and what
// was no answer.
package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"cresspass"
	"cresspass/internal/discovery/sse"
	"cresspass/internal/oserr"
	"cresspass/internal/wire"
)

// Config is what the platform tells a dispatcher.
type Config struct {
	Name   string `json:"name"`
	Listen string `json:"listen"`
	Seed   string `json:"seed"` // hex digits
	Limits struct {
		Cores    float64 `json:"cores"`
		MemoryMB float64 `json:"memory_mb"`
		Sockets  int     `json:"sockets"` // descriptors of all kinds
	} `json:"limits"`
	DiscoveryAddr string `json:"board"`
	Known         struct {
		Rev     uint64           `json:"rev"`
		Notices []sse.WatchEvent `json:"notices"`
	} `json:"known"`
	Settings json.RawMessage `json:"settings"`

	Module          cresspass.Config `json:"-"` // of Settings
	ConnectTimeout  time.Duration    `json:"-"`
	ConnIdleTimeout time.Duration    `json:"-"` // after which compute nodes close
}

// Load reads a configuration from a file.
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

// How often a file is read again where the machine fails for a moment.
const (
	fileRetryDelay   = 20 * time.Millisecond
	maxFileReadTries = 10
)

// readFileWithRetry reads a file, and again where the machine has no descriptor or memory for it.
func readFileWithRetry(path string) (data []byte, err error) {
	for range maxFileReadTries {
		if data, err = os.ReadFile(path); err == nil || !oserr.IsLocal(err) {
			break
		}
		time.Sleep(fileRetryDelay)
	}
	return data, err
}

// Parse reads a configuration.
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
	settings = append(settings, wire.Setting{Path: "rng-seed", Value: strconv.FormatUint(seed>>1, 10)})
	if c.Module, err = wire.ConfigFromSettings(settings); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	micros := func(path string, otherwise time.Duration) time.Duration {
		for _, s := range settings {
			if n, err := strconv.ParseInt(s.Value, 10, 40); s.Path == path && err == nil && n > 0 {
				return time.Duration(n) * time.Microsecond
			}
		}
		return otherwise
	}
	c.ConnectTimeout = micros("limits.connect-timeout-us", 250*time.Millisecond)
	c.ConnIdleTimeout = micros("limits.conn-idle-us", 10*time.Second)
	return c, nil
}

// flattenSettings turns nested settings into the simulator's pairs: paths with dots, lists of plain values
// set apart by commas, lists of objects with their length under count.
func flattenSettings(data []byte) ([]wire.Setting, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	var out []wire.Setting
	add := func(path, value string) { out = append(out, wire.Setting{Path: path, Value: value}) }
	var walk func(path string, v any)
	walk = func(path string, v any) {
		switch v := v.(type) {
		case map[string]any:
			if path != "" {
				path += "."
			}
			for name, inner := range v {
				walk(path+name, inner)
			}
		case []any:
			var plain []string
			for i, inner := range v {
				if _, object := inner.(map[string]any); object {
					walk(path+"."+strconv.Itoa(i), inner)
					continue
				}
				plain = append(plain, fmt.Sprint(inner))
			}
			if plain == nil && len(v) > 0 {
				add(path+".count", strconv.Itoa(len(v)))
			} else {
				add(path, strings.Join(plain, ","))
			}
		case nil:
		default:
			add(path, fmt.Sprint(v))
		}
	}
	walk("", tree)
	return out, nil
}
