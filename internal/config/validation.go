package config

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	json "github.com/goccy/go-json"
)

// ValidationError has one message for each field that breaks a rule. Error joins them by newlines.
type ValidationError []string

func (e ValidationError) Error() string { return strings.Join(e, "\n") }

// validate checks the rules in the validate tags of a struct's fields. It returns a
// ValidationError if any is broken.
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

// reportedName returns the name of a field in error messages, its tag fault; "": its Go name.
func reportedName(field reflect.StructField) string { return field.Tag.Get("fault") }

// describeDecodeError returns an error about a settings file that can't be decoded because of err.
// Unlike err it names the field and the type of its value.
func describeDecodeError(text []byte, err error) error {
	if described := json.Unmarshal(text, new(Settings)); described != nil {
		return withReportedName(described)
	}
	return err
}

// withReportedName replaces the Go name of the field by its reported name if err is the JSON
// package's error about a value of the wrong type. Other errors are returned as they are.
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

// goField identifies a field by the name of its struct type, "" for an anonymous one, and its Go
// name.
type goField struct{ structName, name string }

// reportedNames returns the names in fault tags of the fields of a struct type and of all struct
// types nested in it. Fields without the tag are left out.
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
