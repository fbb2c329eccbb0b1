package audit

import (
	"cmp"
	"reflect"
	"regexp"
	"strings"
)

// Keys holds the keys of a format in lower case, without indices, such as routes.name. The value is set for those of objects whose keys are known.
type Keys map[string]bool

// KeysOf returns the keys that a type has as a JSON document, and those of others that are allowed beside them.
func KeysOf(t reflect.Type, others ...string) Keys {
	keys := Keys{}
	for _, key := range others {
		keys[key] = false
	}
	keys.add("", t)
	return keys
}

// add adds the keys of a type at a path.
func (k Keys) add(path string, t reflect.Type) {
	for t.Kind() == reflect.Pointer || t.Kind() == reflect.Slice {
		t = t.Elem()
	}
	k[path] = t.Kind() == reflect.Struct
	if !k[path] {
		return
	}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		k.add(join(path, name), t.Field(i).Type)
	}
}

// index matches the index of an element of a list in a path.
var index = regexp.MustCompile(`\[\d+]`)

// CheckKeys returns the findings about keys of a JSON document that an object has twice, and about those that the format does not have.
func CheckKeys(data []byte, known Keys) []Finding {
	var r report
	walkJSON(data, func(p place) {
		if !p.isKey {
			return
		}
		path := cmp.Or(p.path, "document")
		key := index.ReplaceAllString(p.path, "")
		_, isKnown := known[key]
		switch parent := key[:max(strings.LastIndex(key, "."), 0)]; {
		case p.repeated:
			r.add(Error, path, "the key is given twice", "only the last value applies, and may keep parts of the earlier one")
		case !isKnown && known[parent]:
			r.add(Warning, path, "the key is unknown", "it is ignored")
		}
	})
	return r.findings
}
