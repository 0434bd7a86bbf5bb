package config

// LogBlock is the block of the log level and format.
type LogBlock struct {
	Level  string `hcl:"level,optional"`
	Format string `hcl:"format,optional"`
}

const (
	defaultLogLevel  = "info"
	defaultLogFormat = "text"
)

var (
	logLevels  = map[string]struct{}{"debug": {}, "info": {}, "warn": {}, "error": {}}
	logFormats = map[string]struct{}{"text": {}, "json": {}}
)

func (v *validator) applyLog(cfg *Config, b *LogBlock) {
	if b == nil {
		b = &LogBlock{}
	}
	cfg.LogLevel = orDefault(b.Level, defaultLogLevel)
	cfg.LogFormat = orDefault(b.Format, defaultLogFormat)
	oneOf(v, inBlock("log"), "level", cfg.LogLevel, logLevels)
	oneOf(v, inBlock("log"), "format", cfg.LogFormat, logFormats)
}
