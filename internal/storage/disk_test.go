package storage

import (
	"errors"
)

// fullDisk is a file on a disk with room for capacity more bytes.
type fullDisk struct {
	File
	capacity int
}

func (f *fullDisk) Write(b []byte) (int, error) {
	if len(b) > f.capacity {
		n, _ := f.File.Write(b[:f.capacity])
		f.capacity = 0
		return n, errors.New("no space left on device")
	}
	f.capacity -= len(b)
	return f.File.Write(b)
}

// faultyFileStub is a file whose calls fail as planned: one entry per call of each kind, nil for success.
type faultyFileStub struct {
	File
	writes, syncs, truncates []error
}

func nextPlanned(plan *[]error) error {
	if len(*plan) == 0 {
		return nil
	}
	err := (*plan)[0]
	*plan = (*plan)[1:]
	return err
}

func (f *faultyFileStub) Write(b []byte) (int, error) {
	if err := nextPlanned(&f.writes); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faultyFileStub) Sync() error {
	if err := nextPlanned(&f.syncs); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faultyFileStub) Truncate(size int64) error {
	if err := nextPlanned(&f.truncates); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// fileWithoutSync is a file whose Sync does nothing.
type fileWithoutSync struct{ File }

func (fileWithoutSync) Sync() error { return nil }
