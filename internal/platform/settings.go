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

// flattenSettings converts nested JSON settings into the path-value pairs of the simulator's wire format:
// dots separate the elements of a path, commas the plain values of a list. A list of objects has its length
// under "count".
func flattenSettings(data []byte) ([]wire.Setting, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil {
		return nil, err
	}
	return appendSettings(nil, "", tree), nil
}

// appendSettings appends the settings of the subtree at a path.
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

// appendListSetting appends a list: each object under its index, the plain values as one setting.
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

// microseconds returns the setting at a path, which is in microseconds. It returns fallback if the setting is
// missing or not a positive integer.
func microseconds(settings []wire.Setting, path string, fallback time.Duration) time.Duration {
	for _, s := range settings {
		if n, err := strconv.ParseInt(s.Value, 10, 40); s.Path == path && err == nil && n > 0 {
			return time.Duration(n) * time.Microsecond
		}
	}
	return fallback
}
