// Package field decodes TOML into structs whose tags describe each key: toml is its name, default its default value,
// unit its unit, allowed its range and doc its description. Unknown keys, wrong types and values that are not allowed
// are reported together as faults.
//
// The allowed tag of a number is "min..max". The allowed tag of a string is "ip:port", "ip:port or empty", "http url"
// or a regular expression that must match the whole value. The elements of a list are checked one by one.
package field

import (
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"sync"
)

// KeySpec describes one key.
type KeySpec struct {
	// Path is the dotted path; "[]" represents any list index.
	Path string
	// Type is string, integer or number.
	Type string
	// Unit is the unit of the value; it is empty if the value has none.
	Unit string
	// Default is the value of an absent key; it is empty if there is no default.
	Default string
	// Allowed describes the allowed values.
	Allowed string
	// Doc describes the key in one sentence.
	Doc string
}

// KeySpecs describes every key of the struct that v points to.
func KeySpecs(v any) []KeySpec {
	sample := reflect.New(reflect.TypeOf(v).Elem()).Elem()
	addListElements(sample)
	var specs []KeySpec
	walk(sample, "", func(path string, f reflect.StructField, v reflect.Value) {
		specs = append(specs, KeySpec{
			Path:    strings.ReplaceAll(path, "[0]", "[]"),
			Type:    typeName(v.Kind()),
			Unit:    f.Tag.Get("unit"),
			Default: f.Tag.Get("default"),
			Allowed: f.Tag.Get("allowed"),
			Doc:     f.Tag.Get("doc"),
		})
	})
	return specs
}

// addListElements sets every list below v to one zero element, so that walk visits the keys of list elements.
func addListElements(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for _, child := range v.Fields() {
			addListElements(child)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		addListElements(v.Index(0))
	}
}

// walk calls visitValue for each value below the struct v that is neither a struct nor a list.
func walk(v reflect.Value, path string, visitValue func(path string, f reflect.StructField, v reflect.Value)) {
	for f, child := range v.Fields() {
		name := f.Tag.Get("toml")
		if path != "" {
			name = path + "." + name
		}
		visit(child, name, f, visitValue)
	}
}

func visit(v reflect.Value, path string, f reflect.StructField, visitValue func(path string, f reflect.StructField, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		walk(v, path, visitValue)
	case reflect.Slice:
		for i := range v.Len() {
			visit(v.Index(i), fmt.Sprintf("%s[%d]", path, i), f, visitValue)
		}
	default:
		visitValue(path, f, v)
	}
}

// typeName returns the name of a kind for messages and tables.
func typeName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "string"
	case reflect.Float64:
		return "number"
	default:
		return "integer"
	}
}

// setDefaults sets each value that has a default. It panics on a default that does not match the type of the field,
// which is a programming error.
func setDefaults(v any) {
	walk(reflect.ValueOf(v).Elem(), "", func(path string, f reflect.StructField, v reflect.Value) {
		text, ok := f.Tag.Lookup("default")
		if !ok {
			return
		}
		switch v.Kind() {
		case reflect.String:
			v.SetString(text)
		case reflect.Float64:
			v.SetFloat(mustParseNumber(path, text))
		default:
			v.SetInt(int64(mustParseNumber(path, text)))
		}
	})
}

// checkAllowed returns a fault for each value that its allowed tag does not permit.
func checkAllowed(v any) []Fault {
	var faults []Fault
	walk(reflect.ValueOf(v).Elem(), "", func(path string, f reflect.StructField, v reflect.Value) {
		allowed, ok := f.Tag.Lookup("allowed")
		if !ok || isAllowed(path, allowed, v) {
			return
		}
		problem := fmt.Sprintf("%v is not allowed", v)
		if v.Kind() == reflect.String {
			problem = fmt.Sprintf("%q is not allowed", v.String())
		}
		faults = append(faults, Fault{Path: path, Problem: problem, Allowed: allowed})
	})
	return faults
}

func isAllowed(path, allowed string, v reflect.Value) bool {
	switch v.Kind() {
	case reflect.String:
		return stringAllowed(allowed, v.String())
	case reflect.Float64:
		return inRange(path, allowed, v.Float())
	default:
		return inRange(path, allowed, float64(v.Int()))
	}
}

func stringAllowed(allowed, s string) bool {
	switch allowed {
	case "ip:port":
		_, err := netip.ParseAddrPort(s)
		return err == nil
	case "ip:port or empty":
		return s == "" || stringAllowed("ip:port", s)
	case "http url":
		u, err := url.Parse(s)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	default:
		return compilePattern(allowed).MatchString(s)
	}
}

// compiledPatterns caches compiled regular expressions by their text.
var compiledPatterns sync.Map

func compilePattern(text string) *regexp.Regexp {
	if p, ok := compiledPatterns.Load(text); ok {
		return p.(*regexp.Regexp)
	}
	p := regexp.MustCompile(`\A(?:` + text + `)\z`)
	compiledPatterns.Store(text, p)
	return p
}

// inRange reports whether n is within the range; it returns false for NaN.
func inRange(path, allowed string, n float64) bool {
	lower, upper, _ := strings.Cut(allowed, "..")
	return n >= mustParseNumber(path, lower) && n <= mustParseNumber(path, upper)
}

func mustParseNumber(path, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("parse number in tag of %s: %v", path, err))
	}
	return n
}
