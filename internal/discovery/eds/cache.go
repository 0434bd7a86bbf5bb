package eds

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"

	"github.com/cespare/xxhash/v2"
)

// The cached list is cacheMagic, the list as JSON, and the checksum of the JSON (xxHash64, big-endian).
const (
	cacheMagic    = "cresspass list 1\n" // the number is the version of the format
	checksumBytes = 8
)

// damagedSuffix is added to the name of a cached list that cannot be used.
const damagedSuffix = ".damaged"

// ErrCacheDamaged is the kind of error for a cached list that cannot be used.
var ErrCacheDamaged = errors.New("eds: the cached list is damaged")

// SaveCache writes a list to a file so that after a crash the file holds this list or the one before: it
// writes a temporary file, syncs it, renames it, and syncs the directory.
func SaveCache(path string, l *List) error {
	body, err := json.Marshal(l)
	if err != nil {
		return err
	}
	data := append([]byte(cacheMagic), body...)
	data = binary.BigEndian.AppendUint64(data, xxhash.Sum64(body))
	dir := filepath.Dir(path)
	f, err := os.CreateTemp(dir, filepath.Base(path)+".new-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }() // after the rename there is nothing to remove
	_, err = f.Write(data)
	err = errors.Join(err, f.Sync(), f.Close())
	if err != nil {
		return err
	}
	if err := os.Rename(f.Name(), path); err != nil {
		return err
	}
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// LoadCache reads a cached list. One that is damaged is renamed to path.damaged and never used.
func LoadCache(path string) (*List, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	l, err := decodeCache(data)
	if err != nil {
		return nil, errors.Join(
			fmt.Errorf("%w: %s: %w", ErrCacheDamaged, path, err),
			os.Rename(path, path+damagedSuffix))
	}
	return l, nil
}

// decodeCache returns the list of a cache file's bytes, or an error that says what is wrong with them.
func decodeCache(data []byte) (*List, error) {
	end := len(data) - checksumBytes
	if end < len(cacheMagic) || string(data[:len(cacheMagic)]) != cacheMagic {
		return nil, errors.New("unknown format")
	}
	body := data[len(cacheMagic):end]
	if binary.BigEndian.Uint64(data[end:]) != xxhash.Sum64(body) {
		return nil, errors.New("wrong checksum")
	}
	var l List
	if err := json.Unmarshal(body, &l); err != nil {
		return nil, err
	}
	return &l, l.Validate()
}
