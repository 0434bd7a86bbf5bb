package state

import (
	"slices"
	"syscall"
	"testing"
)

// faulty is a disk whose calls fail as planned: one plan entry for each call of its kind, nil for none.
type faulty struct {
	File
	writes, syncs, truncates []error
}

func planned(plan *[]error) error {
	if len(*plan) == 0 {
		return nil
	}
	err := (*plan)[0]
	*plan = (*plan)[1:]
	return err
}

func (f *faulty) Write(b []byte) (int, error) {
	if err := planned(&f.writes); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *faulty) Sync() error {
	if err := planned(&f.syncs); err != nil {
		return err
	}
	return f.File.Sync()
}

func (f *faulty) Truncate(size int64) error {
	if err := planned(&f.truncates); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

// TestAcknowledgedSurvives: whatever calls of the disk fail between, a record whose append was acknowledged is
// read after a restart.
func TestAcknowledgedSurvives(t *testing.T) {
	var none error
	for name, disk := range map[string]faulty{
		"a sync fails, then a write": {syncs: []error{none, syscall.EIO},
			writes: []error{none, none, none, syscall.ENOSPC}},
		"a write fails, and its truncate": {writes: []error{none, syscall.ENOSPC},
			truncates: []error{syscall.EIO}},
		"a write and its sync fail": {writes: []error{none, syscall.ENOSPC}, syncs: []error{none, syscall.EIO}},
	} {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			l, _, _ := openLog(t, dir)
			disk.File = l.f
			l.f = &disk
			var acknowledged []uint64
			for id := range uint64(6) {
				if l.Append([]Record{Sent(load(id, t0))}) == nil {
					acknowledged = append(acknowledged, id)
				}
			}
			l.Close()
			l, records, _ := openLog(t, dir)
			defer l.Close()
			book := NewBook()
			book.Take(records)
			var read []uint64
			for _, known := range book.Open(t0) {
				read = append(read, known.ID)
			}
			slices.Sort(read)
			for _, id := range acknowledged {
				if !slices.Contains(read, id) {
					t.Errorf("acknowledged %v, read after the restart %v", acknowledged, read)
					break
				}
			}
		})
	}
}
