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

// A cache file consists of cacheMagic, the list as JSON, and the checksum of the JSON (xxHash64, big-endian).
const (
	cacheMagic    = "cresspass list 1\n" // 1 is the version of the format
	checksumBytes = 8
)

// damagedSuffix is appended to the name of a cache file that cannot be used.
const damagedSuffix = ".damaged"

// ErrCacheDamaged is wrapped by the errors of LoadCache for a cache file that cannot be used.
var ErrCacheDamaged = errors.New("eds: the cached list is damaged")

// SaveCache writes a list to a file atomically: after a crash the file holds either this list or the previous
// one. It writes a temporary file, syncs it, renames it, and syncs the directory.
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
	defer func() { _ = os.Remove(f.Name()) }() // fails after the rename, when there is nothing to remove
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

// LoadCache reads the list from a cache file. A damaged file is renamed to path.damaged and is not used; the
// error then wraps ErrCacheDamaged.
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

// decodeCache decodes the contents of a cache file.
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
