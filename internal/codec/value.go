package codec

import (
	"fmt"

	json "github.com/goccy/go-json"
)

// Encode writes a record as the bytes of its value.
func Encode(record any) []byte {
	value, err := json.Marshal(record)
	if err != nil {
		panic(fmt.Sprintf("record %T can't be encoded: %v", record, err)) // own records always encode
	}
	return value
}

// Decode reads a record back from the bytes of its value. Fields that a later version added
// are passed over. The error is that of the JSON reader.
func Decode[Record any](value []byte) (*Record, error) {
	record := new(Record)
	if err := json.Unmarshal(value, record); err != nil {
		return nil, err
	}
	return record, nil
}
