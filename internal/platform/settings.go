package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"cresspass/internal/wire"
)

// flattenSettings turns nested JSON settings into the pairs that the simulator's wire has: paths with dots,
// lists of plain values separated by commas, lists of objects with their length under "count".
func flattenSettings(data []byte) ([]wire.Setting, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	return appendSettings(nil, "", tree), nil
}

// appendSettings adds the settings of a subtree at a path.
func appendSettings(list []wire.Setting, path string, value any) []wire.Setting {
	switch value := value.(type) {
	case map[string]any:
		if path != "" {
			path += "."
		}
		for name, inner := range value {
			list = appendSettings(list, path+name, inner)
		}
		return list
	case []any:
		return appendListSetting(list, path, value)
	case nil:
		return list
	default:
		return append(list, wire.Setting{Path: path, Value: fmt.Sprint(value)})
	}
}

// appendListSetting adds a list: its objects each under its index, its plain values as one setting.
func appendListSetting(list []wire.Setting, path string, values []any) []wire.Setting {
	var plain []string
	for i, inner := range values {
		if _, object := inner.(map[string]any); object {
			list = appendSettings(list, path+"."+strconv.Itoa(i), inner)
			continue
		}
		plain = append(plain, fmt.Sprint(inner))
	}
	if plain == nil && len(values) > 0 {
		return append(list, wire.Setting{Path: path + ".count", Value: strconv.Itoa(len(values))})
	}
	return append(list, wire.Setting{Path: path, Value: strings.Join(plain, ",")})
}

// microseconds returns a positive setting in microseconds, or a default.
func microseconds(settings []wire.Setting, path string, fallback time.Duration) time.Duration {
	for _, s := range settings {
		if n, err := strconv.ParseInt(s.Value, 10, 40); s.Path == path && err == nil && n > 0 {
			return time.Duration(n) * time.Microsecond
		}
	}
	return fallback
}
