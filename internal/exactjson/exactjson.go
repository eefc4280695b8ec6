// Package exactjson decodes JSON of other programs. Unlike encoding/json and its replacements, it
// matches the names of fields exactly: a field whose name differs from a known one in the case of its
// letters is another field, which the protocol has the receiver ignore.
package exactjson

import (
	"errors"

	"github.com/segmentio/encoding/json"
)

// errTrailingData means that the text goes on after its value.
var errTrailingData = errors.New("data after the JSON value")

// Unmarshal decodes a JSON value into the value that v points to. Errors about a value of the wrong
// type are *json.UnmarshalTypeError of encoding/json, with the path of the field.
func Unmarshal(text []byte, v any) error {
	rest, err := json.Parse(text, v, json.DontMatchCaseInsensitiveStructFields)
	if err != nil {
		return err
	}
	if len(rest) > 0 {
		return errTrailingData
	}
	return nil
}
