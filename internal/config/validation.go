package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	json "github.com/goccy/go-json"
)

// ValidationError lists every field that breaks a rule, one a line.
type ValidationError []string

func (e ValidationError) Error() string { return strings.Join(e, "\n") }

// validate checks the rules in the fields' tags; its error is a FaultsError.
func validate(settings any) error {
	v := validator.New()
	v.RegisterTagNameFunc(reportedName)
	err := v.Struct(settings)
	var broken validator.ValidationErrors
	if !errors.As(err, &broken) {
		return err
	}
	var faults ValidationError
	for _, b := range broken {
		name := strings.TrimPrefix(b.Namespace(), "Settings.")
		faults = append(faults, fmt.Sprintf("%s: %q breaks rule %s %s", name, fmt.Sprint(b.Value()), b.Tag(), b.Param()))
	}
	return faults
}

// reportedName is the name that messages use for a field; "": its Go name.
func reportedName(field reflect.StructField) string { return field.Tag.Get("fault") }

// withReportedName puts the field's name for messages into the JSON package's error about a
// value of the wrong type, which has the Go name.
func withReportedName(err error) error {
	var wrongType *json.UnmarshalTypeError
	if !errors.As(err, &wrongType) {
		return err
	}
	if name := reportedNames(reflect.TypeFor[Settings]())[goField{wrongType.Struct, wrongType.Field}]; name != "" {
		wrongType.Field = name
	}
	return err
}

// goField is a field of a struct type; the struct's name may be empty.
type goField struct{ structName, name string }

// reportedNames collects the names for messages of a struct's fields and of all structs in it.
func reportedNames(t reflect.Type) map[goField]string {
	names := map[goField]string{}
	var collect func(t reflect.Type)
	collect = func(t reflect.Type) {
		switch t.Kind() {
		case reflect.Pointer, reflect.Slice:
			collect(t.Elem())
		case reflect.Struct:
			for i := range t.NumField() {
				field := t.Field(i)
				if name := reportedName(field); name != "" {
					names[goField{t.Name(), field.Name}] = name
				}
				collect(field.Type)
			}
		}
	}
	collect(t)
	return names
}
