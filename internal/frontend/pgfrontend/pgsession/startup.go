package pgsession

import (
	"fmt"
	"strings"

	"cresspass/internal/backend/enginequery"
	"cresspass/internal/backend/sessionparams"
	"cresspass/internal/protocol/pgwire"
	"cresspass/internal/protocol/sqlstate"
)

// protocolOption is the name prefix of startup parameters that are protocol options.
const protocolOption = "_pq_."

// legacySecretSize is the length in bytes of the secret that clients before protocol version 3.2 expect.
const legacySecretSize = 4

// handleStartup handles a packet of the startup phase.
func (s *Session) handleStartup(b []byte) {
	p, err := pgwire.ParseStartup(b)
	switch {
	case err != nil:
		s.failFatal(sqlstate.ProtocolViolation, err.Error())
	case p.Code == pgwire.CodeTLS || p.Code == pgwire.CodeGSS:
		s.out = append(s.out, 'N') // encryption is not supported; the client may continue without it
	case p.Code == pgwire.CodeCancel:
		s.cancelRequest = &CancelRequest{PID: p.PID, Secret: string(p.Secret)}
		s.phase = phaseClosing
	case p.Parameters["user"] == "":
		s.failFatal(sqlstate.InvalidAuthorization, "no user name in the startup packet")
	default:
		s.startSession(&p)
	}
}

// startSession starts the session with the parameters of a StartupMessage and answers the client.
func (s *Session) startSession(p *pgwire.Startup) {
	s.reader.Startup, s.reader.Known = false, pgwire.FrontendType
	s.negotiate(p)
	s.User, s.Database = p.Parameters["user"], p.Parameters["database"]
	if s.Database == "" {
		s.Database = s.User
	}
	if err := s.applyStartupParameters(p.Parameters); err != nil {
		s.failFatal(err.code, err.message)
		return
	}
	s.settings.start()
	if requestsReplication(p.Parameters["replication"]) {
		s.failFatal(sqlstate.FeatureNotSupported, "replication connections are not served")
		return
	}
	s.out = pgwire.AppendAuthOK(s.out)
	s.reportParameters()
	if p.Code < pgwire.Version32 {
		s.Secret = s.Secret[:legacySecretSize]
	}
	s.out = pgwire.AppendKey(s.out, s.PID, []byte(s.Secret))
	s.out = pgwire.AppendReady(s.out, enginequery.StatusIdle)
	s.phase = phaseIdle
}

// negotiate appends a NegotiateProtocolVersion message if the client asks for a later version or for protocol
// options, none of which are supported.
func (s *Session) negotiate(p *pgwire.Startup) {
	var unknown []string
	for name := range p.Parameters {
		if strings.HasPrefix(name, protocolOption) {
			unknown = append(unknown, name)
		}
	}
	if p.Code > pgwire.Version32 || len(unknown) > 0 {
		s.out = pgwire.AppendNegotiate(s.out, min(p.Code, pgwire.Version32), unknown)
	}
}

// requestsReplication reports whether the value of the startup parameter replication asks for a replication
// connection: anything but false or empty.
func requestsReplication(value string) bool {
	switch value {
	case "", "false", "off", "0", "no":
		return false
	}
	return true
}

// applyStartupParameters applies the settings among the parameters of a StartupMessage.
func (s *Session) applyStartupParameters(parameters map[string]string) *settingError {
	for name, value := range parameters {
		var err *settingError
		switch {
		case name == "options":
			err = s.applyStartupOptions(value)
		case name == "user", name == "database", name == "replication",
			strings.HasPrefix(name, protocolOption):
		default:
			err = s.applyStartupSetting(name, value)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (s *Session) applyStartupOptions(value string) *settingError {
	for _, option := range parseStartupOptions(value) {
		name, value, ok := strings.Cut(option, "=")
		if !ok {
			continue
		}
		if err := s.applyStartupSetting(name, value); err != nil {
			return err
		}
	}
	return nil
}

// applyStartupSetting applies one setting. A replayed setting takes effect on the engine that runs the first
// statement, which rejects it if the value is invalid.
func (s *Session) applyStartupSetting(name, value string) *settingError {
	name = strings.ToLower(strings.TrimSpace(name))
	switch {
	case dispatcherSettings[name] || isFixedValue(name, value):
		return s.setLocal(name, value)
	case sessionparams.Replayed(name):
		s.Affinity.Params.SetAtStartup(name, value)
		if reported := sessionparams.Reported(name); reported != "" {
			s.storeStartupReport(reported, value)
		}
		return nil
	}
	return &settingError{sqlstate.FeatureNotSupported,
		fmt.Sprintf("setting %s to %s is not served: engines would not hear of it", name, value)}
}

// storeStartupReport stores the startup value of a setting for its ParameterStatus.
func (s *Session) storeStartupReport(reported, value string) {
	if s.startupReports == nil {
		s.startupReports = map[string]string{}
	}
	s.startupReports[strings.ToLower(reported)] = value
}

// reportParameters sends a ParameterStatus for each setting that servers report to their clients
// ("Asynchronous Operations").
func (s *Session) reportParameters() {
	for _, parameter := range [...]struct{ name, value string }{
		{"server_version", s.cfg.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
		{"application_name", s.Application()},
		{"session_authorization", s.User},
		{"is_superuser", "off"},
		{"in_hot_standby", "off"},
		{"default_transaction_read_only", "off"},
	} {
		value := parameter.value
		if requested, ok := s.startupReports[strings.ToLower(parameter.name)]; ok {
			value = requested
		}
		s.out = pgwire.AppendText(s.out, 'S', parameter.name, value)
	}
}

// parseStartupOptions returns the settings in the startup parameter options, which has the form of a command
// line: "-c name=value" or "--name=value", with spaces escaped by a backslash.
func parseStartupOptions(options string) (settings []string) {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		switch word := words[i]; {
		case word == "-c" && i+1 < len(words):
			i++
			settings = append(settings, words[i])
		case strings.HasPrefix(word, "-c"):
			settings = append(settings, word[len("-c"):])
		case strings.HasPrefix(word, "--"):
			settings = append(settings, strings.ReplaceAll(word[len("--"):], "-", "_"))
		}
	}
	return settings
}

// splitOptions splits a command line at spaces that no backslash escapes, and removes the backslashes.
func splitOptions(options string) (words []string) {
	word := ""
	for i := 0; i <= len(options); i++ {
		switch {
		case i == len(options) || options[i] == ' ':
			if word != "" {
				words = append(words, word)
			}
			word = ""
		case options[i] == '\\' && i+1 < len(options):
			i++
			word += options[i : i+1]
		default:
			word += options[i : i+1]
		}
	}
	return words
}
