//go:build faults

package storage

import (
	"math/rand/v2"
	"os"
	"strconv"
	"syscall"
)

// This file injects disk faults for the fault soak. No other build includes it.

// faultRateVariable is the environment variable with the fraction of calls that fail, from 0 to 1.
const faultRateVariable = "CRESSPASS_DISK_FAULTS"

func init() {
	rate, err := strconv.ParseFloat(os.Getenv(faultRateVariable), 64)
	if err != nil || rate <= 0 {
		return
	}
	newFile = func(path string) (File, error) {
		f, err := create(path)
		if err != nil {
			return nil, err
		}
		return &faultyFile{f, rate}, nil
	}
	newDirectorySync = func(dir string) error {
		if rand.Float64() < rate {
			return syscall.EIO
		}
		return syncDirectory(dir)
	}
}

// faultyFile is a file whose calls fail at a given rate. A write that fails has written some of its bytes.
type faultyFile struct {
	File
	rate float64
}

func (f *faultyFile) Write(b []byte) (int, error) {
	if rand.Float64() < f.rate {
		n, _ := f.File.Write(b[:rand.IntN(len(b)+1)]) // the call fails either way
		return n, syscall.ENOSPC
	}
	return f.File.Write(b)
}

func (f *faultyFile) Sync() error {
	if rand.Float64() < f.rate {
		return syscall.EIO
	}
	return f.File.Sync()
}

func (f *faultyFile) Truncate(size int64) error {
	if rand.Float64() < f.rate {
		return syscall.EIO
	}
	return f.File.Truncate(size)
}
