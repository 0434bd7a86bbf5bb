package flightsql

import (
	"context"
	"strconv"
	"strings"

	"github.com/apache/arrow-go/v18/arrow/flight"
	pb "github.com/apache/arrow-go/v18/arrow/flight/gen/flight"

	"cresspass/internal/backend/sessionparams"
)

// Session options other than the engine's settings.
const (
	optionCatalog     = "catalog"
	optionSchema      = "schema"
	optionApplication = "application_name"
)

// settingSearchPath is the engine setting that optionSchema sets.
const settingSearchPath = "search_path"

// SetSessionOptions sets options of the session. Those that are engine settings are replayed on each engine
// connection that runs the session's statements.
func (s *Server) SetSessionOptions(ctx context.Context,
	req *flight.SetSessionOptionsRequest) (*flight.SetSessionOptionsResult, error) {
	sess := sessionOf(ctx)
	res := &flight.SetSessionOptionsResult{Errors: map[string]*flight.SetSessionOptionsResultError{}}
	for key, value := range req.GetSessionOptions() {
		text, ok := optionText(value)
		if !ok {
			res.Errors[key] = &flight.SetSessionOptionsResultError{
				Value: flight.SetSessionOptionsResultErrorInvalidValue}
			continue
		}
		if !sess.setOption(key, text) {
			res.Errors[key] = &flight.SetSessionOptionsResultError{
				Value: flight.SetSessionOptionsResultErrorInvalidName}
		}
	}
	return res, nil
}

// setOption sets an option; an empty text resets it to the default. It returns false if no option has the
// name.
func (sess *session) setOption(key, text string) bool {
	setting := strings.ToLower(key)
	if setting == optionSchema {
		setting = settingSearchPath
	}
	replayed := sessionparams.Replayed(setting)
	if !replayed && setting != optionCatalog && setting != optionApplication {
		return false
	}
	sess.storeOption(key, setting, text)
	if replayed {
		sess.defaultScope.replaySetting(setting, text)
	}
	return true
}

func (sess *session) storeOption(key, setting, text string) {
	sess.mu.Lock()
	defer sess.mu.Unlock()
	switch setting {
	case optionCatalog:
		sess.database = text
	case optionApplication:
		sess.application = text
	}
	if sess.options[key] = text; text == "" {
		delete(sess.options, key)
	}
}

// replaySetting changes a setting that is replayed; an empty text resets it to the default.
func (sc *scope) replaySetting(name, text string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if text == "" {
		sc.affinity.Params.ResetSetting(name)
	} else {
		sc.affinity.Params.ChangeSetting(name, text)
	}
}

// optionText returns an option's value as text. ok is false for a value of an unknown type.
func optionText(o *flight.SessionOptionValue) (text string, ok bool) {
	switch x := o.GetOptionValue().(type) {
	case nil:
		return "", true
	case *pb.SessionOptionValue_StringValue:
		return x.StringValue, true
	case *pb.SessionOptionValue_BoolValue:
		if x.BoolValue {
			return "on", true
		}
		return "off", true
	case *pb.SessionOptionValue_Int64Value:
		return strconv.FormatInt(x.Int64Value, 10), true
	case *pb.SessionOptionValue_DoubleValue:
		return strconv.FormatFloat(x.DoubleValue, 'g', -1, 64), true
	case *pb.SessionOptionValue_StringListValue_:
		return strings.Join(x.StringListValue.GetValues(), ", "), true
	}
	return "", false
}

// GetSessionOptions returns the options that SetSessionOptions set.
func (s *Server) GetSessionOptions(ctx context.Context,
	_ *flight.GetSessionOptionsRequest) (*flight.GetSessionOptionsResult, error) {
	sess := sessionOf(ctx)
	sess.mu.Lock()
	defer sess.mu.Unlock()
	options := map[string]*flight.SessionOptionValue{}
	for key, text := range sess.options {
		option, err := flight.NewSessionOptionValue(text)
		if err != nil {
			return nil, err
		}
		options[key] = &option
	}
	return &flight.GetSessionOptionsResult{SessionOptions: options}, nil
}
