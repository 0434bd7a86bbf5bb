package recording

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// Limits bounds what a recorder keeps on disk.
type Limits struct {
	FileBytes  int64 // bytes of a file; a block that would exceed them starts a new file
	TotalBytes int64 // bytes of all files together; the oldest are removed first
}

// File is a recording in the directory, with its size in bytes.
type File struct {
	Name string
	Size int64
}

const (
	namePrefix = "cresspass-"
	nameSuffix = ".rec"
)

// FileName returns the name of a recording that starts at a time. Names sort in the order of times.
func FileName(at time.Time) string {
	return fmt.Sprintf("%s%020d%s", namePrefix, at.UnixMicro(), nameSuffix)
}

// IsRecording reports whether a file name is one that FileName returns. Rotation removes files: without this
// check it would remove other files in the directory.
func IsRecording(name string) bool {
	middle := strings.TrimSuffix(strings.TrimPrefix(name, namePrefix), nameSuffix)
	if len(name) != len(namePrefix)+20+len(nameSuffix) || len(middle) != 20 {
		return false
	}
	return strings.Trim(middle, "0123456789") == ""
}

// Rotate decides what to do before a block, whose size is given in bytes, is written to the open file. open
// is the name of that file; "": none is open. startNew reports whether a new file must be started first, and
// obsolete names the oldest files, which must be removed so that all files together stay within TotalBytes.
// The open file is among them only if startNew is true. Rotate sorts files by name.
func (l Limits) Rotate(files []File, open string, block int64) (startNew bool, obsolete []string) {
	sort.Slice(files, func(i, j int) bool { return files[i].Name < files[j].Name })
	total := block
	startNew = open == ""
	for _, f := range files {
		total += f.Size
		if f.Name == open && f.Size+block > l.FileBytes && f.Size > headerSize {
			startNew = true
		}
	}
	if startNew {
		total += headerSize
	}
	for _, f := range files {
		if total <= l.TotalBytes || f.Name == open && !startNew {
			break
		}
		obsolete = append(obsolete, f.Name)
		total -= f.Size
	}
	return startNew, obsolete
}
