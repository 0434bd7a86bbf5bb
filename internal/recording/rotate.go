package recording

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Limits bound what a recorder keeps on disk.
type Limits struct {
	FileBytes  int64 // bytes of a file, after which another is begun
	TotalBytes int64 // bytes of all files together; the oldest go first
}

// File is one of a recorder's files.
type File struct {
	Name string
	Size int64
}

const (
	prefix = "cresspass-"
	suffix = ".rec"
)

// FileName is that of a recording begun at a time; names are in the order of times.
func FileName(at time.Time) string { return fmt.Sprintf("%s%020d%s", prefix, at.UnixMicro(), suffix) }

// IsRecording reports whether a file is a recorder's by its name. Rotation removes files: without this check
// it would remove what others keep in the folder.
func IsRecording(name string) bool {
	middle := strings.TrimSuffix(strings.TrimPrefix(name, prefix), suffix)
	if len(name) != len(prefix)+20+len(suffix) || len(middle) != 20 {
		return false
	}
	return strings.Trim(middle, "0123456789") == ""
}

// Rotate decides before a block of so many bytes is written to the file that is open (its name "" where
// none is): whether another is begun first, and which old ones are removed so that all stay within the
// limits.
func (l Limits) Rotate(files []File, open string, block int64) (begin bool, remove []string) {
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	total := block
	begin = open == ""
	for _, f := range files {
		total += f.Size
		if f.Name == open && f.Size+block > l.FileBytes && f.Size > headerSize {
			begin = true
		}
	}
	if begin {
		total += headerSize
	}
	for _, f := range files {
		if total <= l.TotalBytes || f.Name == open && !begin {
			break
		}
		remove = append(remove, f.Name)
		total -= f.Size
	}
	return begin, remove
}
