package audit

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// Lines holds the lines of the keys of a document, by path such as routes[3].name. Paths are in lower case, since the decoder of JSON ignores case.
type Lines map[string]int

// Bounds of the keys that are located. The keys of the formats have a depth of up to 5 and are short; without bounds, deep documents and long keys would
// need memory in proportion to the square of their size.
const (
	maxLocatedDepth = 8
	maxKeyBytes     = 64
)

// Of returns the line of a key, or of the nearest key above it that is in the document. It returns 1 if there is none.
func (l Lines) Of(key string) int {
	for key = strings.ToLower(key); key != ""; {
		if line, ok := l[key]; ok {
			return line
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

// join returns the path of a key below a path.
func join(path, key string) string {
	return strings.TrimPrefix(path+"."+strings.ToLower(key[:min(len(key), maxKeyBytes)]), ".")
}

// lineCounter counts lines up to ascending offsets of a document.
type lineCounter struct {
	data         []byte
	offset, line int
}

// at returns the line of an offset that is not below the one before.
func (c *lineCounter) at(offset int) int {
	offset = min(max(offset, c.offset), len(c.data))
	c.line += bytes.Count(c.data[c.offset:offset], []byte("\n"))
	c.offset = offset
	return c.line + 1
}

// LineAt returns the line of an offset in a document.
func LineAt(data []byte, offset int64) int {
	c := lineCounter{data: data}
	return c.at(int(min(max(offset, 0), int64(len(data)))))
}

// container is an object or a list that contains the present position of a JSON document.
type container struct {
	path string
	list bool
	// next is the index of the next element of a list; hasKey is set between a key of an object and its value.
	next   int
	hasKey bool
	key    string
	// keys are those that the object had so far, in lower case.
	keys map[string]struct{}
}

// place is a key of an object, or an element of a list.
type place struct {
	path string
	line int
	// isKey is set for a key, and repeated if its object has had it before.
	isKey, repeated bool
}

// LocateJSON returns the lines of a JSON document, up to the first syntax error.
func LocateJSON(data []byte) Lines {
	lines := Lines{}
	walkJSON(data, func(p place) { lines[p.path] = p.line })
	return lines
}

// walkJSON calls visit for each key and each element of a list in a JSON document that is not too deep, in order, up to the first syntax error.
func walkJSON(data []byte, visit func(place)) {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.UseNumber()
	counter := lineCounter{data: data}
	var stack []container
	for {
		token, err := decoder.Token()
		if err != nil {
			return
		}
		line := counter.at(int(decoder.InputOffset()))
		if token == json.Delim('}') || token == json.Delim(']') {
			stack = stack[:len(stack)-1]
			continue
		}
		path := ""
		if len(stack) > 0 {
			top := &stack[len(stack)-1]
			if !top.list && !top.hasKey {
				top.key, top.hasKey = fmt.Sprint(token), true
				if len(stack) <= maxLocatedDepth {
					visit(place{path: top.child(), line: line, isKey: true, repeated: top.repeats()})
				}
				continue
			}
			path = top.child()
			if top.list && len(stack) <= maxLocatedDepth {
				visit(place{path: path, line: line})
			}
			top.next, top.hasKey = top.next+1, false
		}
		if len(stack) > maxLocatedDepth {
			path = "" // nothing below is located
		}
		if d, ok := token.(json.Delim); ok {
			stack = append(stack, container{path: path, list: d == '['})
		}
	}
}

// repeats records the present key and reports whether the object has had it before.
func (c *container) repeats() bool {
	key := strings.ToLower(c.key)
	_, had := c.keys[key]
	if c.keys == nil {
		c.keys = map[string]struct{}{}
	}
	c.keys[key] = struct{}{}
	return had
}

// child returns the path of the present key or element.
func (c *container) child() string {
	if c.list {
		return c.path + "[" + strconv.Itoa(c.next) + "]"
	}
	return join(c.path, c.key)
}

// LocateTOML returns the lines of a TOML document, up to the first syntax error.
func LocateTOML(data []byte) Lines {
	t := tomlLocator{lines: Lines{}, lists: map[string]int{}}
	t.parser.Reset(data)
	counter := lineCounter{data: data}
	for t.parser.NextExpression() {
		e := t.parser.Expression()
		switch e.Kind {
		case unstable.Table:
			t.table = t.key("", e, &counter)
		case unstable.ArrayTable:
			path := t.key("", e, &counter)
			t.table = fmt.Sprintf("%s[%d]", path, t.lists[path])
			t.lists[path]++
			t.lines[t.table] = t.lines[path]
		case unstable.KeyValue:
			t.value(t.key(t.table, e, &counter), e.Value(), 1, &counter)
		}
	}
	return t.lines
}

// tomlLocator locates the keys of a TOML document.
type tomlLocator struct {
	parser unstable.Parser
	lines  Lines
	// table is the path of the present table, and lists holds the number of tables of each list.
	table string
	lists map[string]int
}

// String returns the name of the locator for logs.
func (t *tomlLocator) String() string { return "locator of TOML keys" }

// key returns the path of the key of an expression below a table, and records its line. A list of tables in the path stands for its last one.
func (t *tomlLocator) key(path string, e *unstable.Node, counter *lineCounter) string {
	depth := 0
	for parts := e.Key(); parts.Next() && depth < maxLocatedDepth; depth++ {
		if n := t.lists[path]; n > 0 {
			path = fmt.Sprintf("%s[%d]", path, n-1)
		}
		part := parts.Node()
		path = join(path, string(part.Data))
		t.lines[path] = counter.at(int(part.Raw.Offset))
	}
	return path
}

// value records the lines of the elements of a list. Those of one without a position have the line of the list.
func (t *tomlLocator) value(path string, v *unstable.Node, depth int, counter *lineCounter) {
	if v == nil || v.Kind != unstable.Array || depth > maxLocatedDepth {
		return
	}
	i := 0
	for elements := v.Children(); elements.Next(); i++ {
		element := elements.Node()
		child := fmt.Sprintf("%s[%d]", path, i)
		t.lines[child] = t.lines[path]
		if element.Raw.Length > 0 {
			t.lines[child] = counter.at(int(element.Raw.Offset))
		}
		t.value(child, element, depth+1, counter)
	}
}
