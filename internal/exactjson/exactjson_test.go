package exactjson

import "testing"

// TestNamesMatchExactly guards against unknown fields that replace known ones because their names
// differ only in the case of letters.
func TestNamesMatchExactly(t *testing.T) {
	type list struct {
		Zone  string   `json:"Yard"`
		Count uint64   `json:"Pieces"`
		Names []string `json:"names"`
	}
	const text = `{"yard":"b","Yard":"a","YARD":"c","Pieces":18446744073709551615,"pieces":5,"names":["x"],"Names":["y"],"more":{"Yard":[]}} `
	var got list
	if err := Unmarshal([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	if got.Zone != "a" || got.Count != 1<<64-1 || len(got.Names) != 1 || got.Names[0] != "x" {
		t.Errorf("decoded %+v", got)
	}
	for _, malformed := range []string{"", "{", `{"Yard":"a"`, `{} {}`, `{"Pieces":-1}`, `{"Pieces":18446744073709551616}`, `{"names":[1]}`, `["Yard"]`} {
		if Unmarshal([]byte(malformed), &got) == nil {
			t.Errorf("%s is accepted", malformed)
		}
	}
}
