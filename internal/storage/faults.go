//go:build faults

package storage

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
)

// This file is the faulty disk of the fault soak. It is in no other build.

func init() {
	share, err := strconv.ParseFloat(os.Getenv("CRESSPASS_DISK_FAULTS"), 64)
	if err != nil || share <= 0 {
		return
	}
	newFile = func(path string) (File, error) {
		f, err := create(path)
		if err != nil {
			return nil, err
		}
		return &faultyFile{f, share}, nil
	}
}

// faultyFile is a file of which a share of the calls fails: writes after half of their bytes.
type faultyFile struct {
	File
	share float64
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if rand.Float64() < f.share {
		n, _ := f.File.Write(b[:rand.IntN(len(b)+1)])
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if rand.Float64() < f.share {
		return syscall.EIO
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if rand.Float64() < f.share {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}
