package codec

import (
	"fmt"

	json "github.com/goccy/go-json"
)

// Encode returns the bytes that a record is stored as. It panics if the record can't be encoded.
func Encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("stored record of type %T can't be encoded: %v", record, err)) // the records of this program can always be encoded
	}
	return value
}

// Decode returns the record that is stored as the given bytes. Fields that a later version added are
// ignored. The error is that of the JSON decoder.
func Decode[Record any](value []byte) (*Record, error) {
	record := new(Record)
	if err := json.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}
