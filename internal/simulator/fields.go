package simulator

import (
	"reflect"
	"slices"
)

// knownFields lists the fields of an experiment's file, those of tables as table.field.
func knownFields() []string {
	fields := fieldsOf(reflect.TypeFor[Experiment](), "")
	slices.Sort(fields)
	return slices.Compact(fields)
}

func fieldsOf(t reflect.Type, prefix string) []string {
	var fields []string
	for i := range t.NumField() {
		f := t.Field(i)
		name := f.Tag.Get("toml")
		if name == "" {
			continue
		}
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner = inner.Elem()
		}
		if inner.Kind() == reflect.Struct {
			fields = append(fields, fieldsOf(inner, prefix+name+".")...)
			continue
		}
		fields = append(fields, prefix+name)
	}
	return fields
}
