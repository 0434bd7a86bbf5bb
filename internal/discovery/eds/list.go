// Package eds brings the engine list: its form, the file that keeps the last one, and a source that speaks
// Envoy's endpoint discovery.
package eds

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"cresspass"
	"cresspass/internal/discovery/starttime"
)

// Engine is one entry of a list.
type Engine struct {
	Address string    `json:"address"`
	State   string    `json:"state"` // on, draining or gone
	Kind    string    `json:"kind,omitempty"`
	Zone    string    `json:"zone,omitempty"`
	Cell    int       `json:"cell,omitempty"`
	Size    float64   `json:"size,omitempty"`
	Started time.Time `json:"started,omitzero"` // zero: long ago
}

// The states of an engine.
const (
	StateActive   = "on"
	StateDraining = "draining"
	StateRemoved  = "gone"
)

// List is a complete engine list.
type List struct {
	Version    string    `json:"version"`
	ReceivedAt time.Time `json:"at"` // when it was received
	Engines    []Engine  `json:"engines"`
}

// Validate returns an error naming what makes a list unfit to be believed, and puts it in order of addresses.
func (l *List) Validate() error {
	slices.SortFunc(l.Engines, func(a, b Engine) int { return cmp.Compare(a.Address, b.Address) })
	for i, e := range l.Engines {
		switch {
		case e.Address == "":
			return errors.New("roster: an engine without an address")
		case i > 0 && l.Engines[i-1].Address == e.Address:
			return fmt.Errorf("roster: engine %s is named twice", e.Address)
		case e.State != StateActive && e.State != StateDraining && e.State != StateRemoved:
			return fmt.Errorf("roster: engine %s: state %q", e.Address, e.State)
		}
	}
	return nil
}

// EngineInfos returns the list in the module's terms at a time of its clock; clock turns starts into that
// time, and forgets the engines that are not on the list.
func (l *List) EngineInfos(now time.Duration, clock *starttime.Converter) []cresspass.EngineInfo {
	listed := map[cresspass.EngineID]bool{}
	for _, e := range l.Engines {
		listed[cresspass.EngineID(e.Address)] = true
		if !e.Started.IsZero() {
			clock.Observe(now, cresspass.EngineID(e.Address), e.Started)
		}
	}
	clock.Retain(func(id cresspass.EngineID) bool { return listed[id] })
	out := make([]cresspass.EngineInfo, 0, len(l.Engines))
	for _, e := range l.Engines {
		info := cresspass.EngineInfo{ID: cresspass.EngineID(e.Address), Kind: e.Kind, Zone: e.Zone,
			Cell: e.Cell, Size: e.Size}
		switch e.State {
		case StateDraining:
			info.State = cresspass.EngineDraining
		case StateRemoved:
			info.State = cresspass.EngineRemoved
		}
		if !e.Started.IsZero() {
			info.StartedAt = clock.Convert(now, info.ID, e.Started)
		}
		out = append(out, info)
	}
	return out
}

// cacheMagic begins a kept list; the number is that of the form.
const cacheMagic = "cresspass list 1\n"

// SaveCache keeps a list in a file, whole or not at all: a temporary file, fsync, rename, fsync of the
// directory.
func SaveCache(path string, l *List) error {
	body, err := json.Marshal(l)
	if err != nil {
		return err
	}
	out := append([]byte(cacheMagic), body...)
	out = binary.BigEndian.AppendUint64(out, xxhash.Sum64(body))
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer os.Remove(f.Name())
	_, err = f.Write(out)
	err = errors.Join(err, f.Sync(), f.Close())
	if err == nil {
		err = os.Rename(f.Name(), path)
	}
	if err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// ErrCacheDamaged is the kind of error for a kept list that cannot be believed.
var ErrCacheDamaged = errors.New("roster: kept list is damaged")

// LoadCache reads a kept list. A damaged one is set aside under path.damaged and never believed.
func LoadCache(path string) (*List, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	l, err := decodeCache(b)
	if err != nil {
		return nil, errors.Join(fmt.Errorf("%w: %s: %v", ErrCacheDamaged, path, err), os.Rename(path,
			path+".damaged"))
	}
	return l, nil
}

func decodeCache(b []byte) (*List, error) {
	n := len(b) - 8
	if n < len(cacheMagic) || string(b[:len(cacheMagic)]) != cacheMagic {
		return nil, errors.New("it has another form")
	}
	body := b[len(cacheMagic):n]
	if binary.BigEndian.Uint64(b[n:]) != xxhash.Sum64(body) {
		return nil, errors.New("its checksum does not fit")
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	return &l, l.Validate()
}
