// Package field reads TOML into plain structs whose tags describe each key: toml
// is its name, default its default, unit its unit, allowed its range and doc its
// meaning. Unknown keys, wrong types and values that are not allowed are reported
// together as faults.
//
// The allowed tag of a number is "least..most". That of a string is "ip:port",
// "ip:port or empty", "http url" or a regular expression for the whole value. The
// elements of a list are checked one by one.
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

// Row describes one key.
type Row struct {
	// Path is the dotted path; "[]" stands for any index of a list.
	Path string
	// Type is string, integer or number.
	Type string
	// Unit is the unit of the value, empty when it has none.
	Unit string
	// Default is the value of an absent key, empty when there is none.
	Default string
	// Allowed says which values are allowed.
	Allowed string
	// Doc is the meaning in one sentence.
	Doc string
}

// Rows describes every key of the struct that v points to.
func Rows(v any) []Row {
	sample := reflect.New(reflect.TypeOf(v).Elem()).Elem()
	grow(sample)
	var rows []Row
	walk(sample, "", func(path string, f reflect.StructField, v reflect.Value) {
		rows = append(rows, Row{
			Path:    strings.ReplaceAll(path, "[0]", "[]"),
			Type:    typeName(v.Kind()),
			Unit:    f.Tag.Get("unit"),
			Default: f.Tag.Get("default"),
			Allowed: f.Tag.Get("allowed"),
			Doc:     f.Tag.Get("doc"),
		})
	})
	return rows
}

// grow gives every list below v one element.
func grow(v reflect.Value) {
	switch v.Kind() {
	case reflect.Struct:
		for _, child := range v.Fields() {
			grow(child)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		grow(v.Index(0))
	}
}

// walk calls leaf for each value below the struct v that is neither a struct nor a list.
func walk(v reflect.Value, path string, leaf func(path string, f reflect.StructField, v reflect.Value)) {
	for f, child := range v.Fields() {
		name := f.Tag.Get("toml")
		if path != "" {
			name = path + "." + name
		}
		visit(child, name, f, leaf)
	}
}

func visit(v reflect.Value, path string, f reflect.StructField, leaf func(path string, f reflect.StructField, v reflect.Value)) {
	switch v.Kind() {
	case reflect.Struct:
		walk(v, path, leaf)
	case reflect.Slice:
		for i := range v.Len() {
			visit(v.Index(i), fmt.Sprintf("%s[%d]", path, i), f, leaf)
		}
	default:
		leaf(path, f, v)
	}
}

// typeName is the name of a kind in messages and tables.
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

// setDefaults sets each value that has a default. It panics on a default that does not
// fit its type, which is a programming error.
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
			v.SetFloat(mustNumber(path, text))
		default:
			v.SetInt(int64(mustNumber(path, text)))
		}
	})
}

// check returns a fault for each value that its allowed tag forbids.
func check(v any) []Fault {
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
		return pattern(allowed).MatchString(s)
	}
}

// patterns holds compiled patterns by their text.
var patterns sync.Map

func pattern(text string) *regexp.Regexp {
	if p, ok := patterns.Load(text); ok {
		return p.(*regexp.Regexp)
	}
	p := regexp.MustCompile(`\A(?:` + text + `)\z`)
	patterns.Store(text, p)
	return p
}

// inRange is false for a value that is not a number.
func inRange(path, allowed string, n float64) bool {
	least, most, _ := strings.Cut(allowed, "..")
	return n >= mustNumber(path, least) && n <= mustNumber(path, most)
}

func mustNumber(path, text string) float64 {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil {
		panic(fmt.Sprintf("tag of %s: %v", path, err))
	}
	return n
}
