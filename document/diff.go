package document

import (
	"fmt"
	"reflect"
	"sort"
)

// Change is one difference between two documents.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the differences between two documents, ordered by path. List
// items are matched by name, not by position.
func Diff(before, after *Document) []Change {
	oldFields, newFields := map[string]string{}, map[string]string{}
	flatten("", reflect.ValueOf(*before), oldFields)
	flatten("", reflect.ValueOf(*after), newFields)
	changes := []Change{}
	for path, value := range oldFields {
		if newFields[path] != value {
			changes = append(changes, Change{Path: path, Old: value, New: newFields[path]})
		}
	}
	for path, value := range newFields {
		if _, ok := oldFields[path]; !ok {
			changes = append(changes, Change{Path: path, New: value})
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

func flatten(path string, v reflect.Value, out map[string]string) {
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			flatten(join(path, v.Type().Field(i).Tag.Get("yaml")), v.Field(i), out)
		}
	case reflect.Slice:
		for i := range v.Len() {
			flatten(join(path, itemName(v.Index(i), i)), v.Index(i), out)
		}
	case reflect.Map:
		for _, key := range v.MapKeys() {
			flatten(join(path, key.String()), v.MapIndex(key), out)
		}
	default:
		out[path] = fmt.Sprint(v.Interface())
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// itemName returns the identifying fields of a list item, or its index if it has
// none.
func itemName(v reflect.Value, index int) string {
	switch item := v.Interface().(type) {
	case Region:
		return item.Name
	case Link:
		return item.From + "/" + item.To
	case Service:
		return item.Name
	case Route:
		return item.Prefix
	case SteeringRule:
		return item.Service + "/" + item.Customer + "/" + item.From
	case Customer:
		return item.Name
	case Key:
		return item.ID
	case ClientBlock:
		return item.CIDR
	case Drain:
		return item.Region + item.Upstream
	case string:
		return item
	}
	return fmt.Sprint(index)
}
