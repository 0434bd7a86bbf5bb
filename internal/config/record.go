package config

import "cresspass/internal/recording"

// RecordBlock is the block of the directory in which accepted queries are recorded.
type RecordBlock struct {
	Dir     string `hcl:"dir"`
	FileMB  int    `hcl:"file_mb,optional"`
	TotalMB int    `hcl:"total_mb,optional"`
}

const (
	defaultRecordingFileMB  = 64
	defaultRecordingTotalMB = 1024
)

// applyRecord checks the block. Without the block nothing is recorded.
func (v *validator) applyRecord(cfg *Config, b *RecordBlock) {
	if b == nil {
		return
	}
	cfg.RecordingDir = b.Dir
	cfg.RecordingLimits = recording.Limits{
		FileBytes:  int64(v.nonNegative("file_mb", b.FileMB, defaultRecordingFileMB)) * megabyte,
		TotalBytes: int64(v.nonNegative("total_mb", b.TotalMB, defaultRecordingTotalMB)) * megabyte,
	}
	if l := cfg.RecordingLimits; l.TotalBytes < 2*l.FileBytes {
		v.errorf(inBlock("record"), "total_mb", "must allow two files of %d MB each", l.FileBytes/megabyte)
	}
}
