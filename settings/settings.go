// Package settings decodes INI files into tagged structs and reports all problems of a file at once.
//
// A field is decoded if it has an `ini` tag with its key. A `default` tag holds the text that is used when the key is
// absent; a field without one is required. `min` and `max` tags bound numbers and durations, and `oneof` lists the
// allowed values of a string.
package settings

import (
	"bytes"
	"net/netip"
	"os"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"gopkg.in/ini.v1"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Checker is implemented by settings structs with constraints across several fields.
type Checker interface {
	// CheckSettings records violated constraints; location returns the location of a key.
	CheckSettings(location func(key string) findings.Location, found *findings.List)
}

// File is a parsed INI file whose sections are decoded one by one.
type File struct {
	name     string
	ini      *ini.File
	lines    map[string]int
	usedKeys map[string]map[string]bool
	found    findings.List
}

// Load reads a settings file. It fails when the file can't be read or isn't INI.
func Load(path string) (*File, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading settings")
	}
	return Parse(path, raw)
}

// Parse reads settings from memory; name appears in findings.
func Parse(name string, raw []byte) (*File, error) {
	opts := ini.LoadOptions{AllowShadows: true, KeyValueDelimiters: "="}
	parsed, err := ini.LoadSources(opts, raw)
	if err != nil {
		var found findings.List
		found.Addf(findings.Location{File: name}, "not an INI file: %v", err)
		return nil, found.Err()
	}
	f := &File{name: name, ini: parsed, lines: lineNumbers(raw), usedKeys: map[string]map[string]bool{}}
	f.reportDuplicateKeys()
	return f, nil
}

// lineNumbers maps "section" and "section\x00key" to the line of their first occurrence.
func lineNumbers(raw []byte) map[string]int {
	lines := map[string]int{}
	section := ""
	for i, line := range bytes.Split(raw, []byte("\n")) {
		text := strings.TrimSpace(string(line))
		if text == "" || text[0] == '#' || text[0] == ';' {
			continue
		}
		id := ""
		if strings.HasPrefix(text, "[") {
			section, _, _ = strings.Cut(text[1:], "]")
			section = strings.TrimSpace(section)
			id = section
		} else {
			key, _, _ := strings.Cut(text, "=")
			id = section + "\x00" + strings.TrimSpace(key)
		}
		if _, seen := lines[id]; !seen {
			lines[id] = i + 1
		}
	}
	return lines
}

func (f *File) reportDuplicateKeys() {
	for _, section := range f.ini.Sections() {
		for _, key := range section.Keys() {
			if len(key.ValueWithShadows()) > 1 {
				f.found.Addf(f.Location(section.Name(), key.Name()), "key is given more than once")
			}
		}
	}
}

// Location returns the location of a key, or of the section itself if key is empty.
func (f *File) Location(section, key string) findings.Location {
	id := section
	if key != "" {
		id = section + "\x00" + key
	}
	return findings.Location{File: f.name, Section: section, Key: key, Line: f.lines[id]}
}

// Sections returns the names of the sections that start with prefix, in the order of the file.
func (f *File) Sections(prefix string) []string {
	var names []string
	for _, name := range f.ini.SectionStrings() {
		if name != ini.DefaultSection && strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	return names
}

// Found returns the list of findings, to which callers can add further ones about this file.
func (f *File) Found() *findings.List { return &f.found }

// Decode fills the struct that target points to from one section. Err returns the findings.
func (f *File) Decode(section string, target any) {
	value := reflect.ValueOf(target).Elem()
	usedKeys := f.usedKeys[section]
	if usedKeys == nil {
		usedKeys = map[string]bool{}
		f.usedKeys[section] = usedKeys
	}
	source, _ := f.ini.GetSection(section)
	before := f.found.Len()
	for i := range value.NumField() {
		field := value.Type().Field(i)
		key, ok := field.Tag.Lookup("ini")
		if !ok {
			continue
		}
		usedKeys[key] = true
		f.decodeField(section, key, source, field, value.Field(i))
	}
	if checker, ok := target.(Checker); ok && f.found.Len() == before {
		checker.CheckSettings(func(key string) findings.Location { return f.Location(section, key) }, &f.found)
	}
}

func (f *File) decodeField(section, key string, source *ini.Section, field reflect.StructField, value reflect.Value) {
	text, given := "", false
	if source != nil && source.HasKey(key) {
		text, given = source.Key(key).Value(), true
	}
	if !given {
		defaultText, hasDefault := field.Tag.Lookup("default")
		if !hasDefault {
			f.found.Addf(f.Location(section, key), "required key is missing")
			return
		}
		text = defaultText
	}
	if message := setValue(value, text, field.Tag); message != "" {
		f.found.Addf(f.Location(section, key), "%s", message)
	}
}

// Err returns all findings, including one for each section and key that no call of Decode has used.
func (f *File) Err() error {
	all := f.found
	for _, section := range f.ini.Sections() {
		name := section.Name()
		if name == ini.DefaultSection && len(section.Keys()) == 0 {
			continue
		}
		usedKeys, known := f.usedKeys[name]
		if !known {
			all.Addf(f.Location(name, ""), "unknown section")
			continue
		}
		for _, key := range section.KeyStrings() {
			if !usedKeys[key] {
				all.Addf(f.Location(name, key), "unknown key")
			}
		}
	}
	return all.Err()
}

var (
	durationType = reflect.TypeFor[time.Duration]()
	addrPortType = reflect.TypeFor[netip.AddrPort]()
)

// setValue parses text into value. It returns an error message, or an empty string on success.
func setValue(value reflect.Value, text string, tag reflect.StructTag) string {
	text = strings.TrimSpace(text)
	switch {
	case value.Type() == durationType:
		return setDuration(value, text, tag)
	case value.Type() == addrPortType:
		return setAddrPort(value, text)
	}
	switch value.Kind() {
	case reflect.String:
		return setString(value, text, tag)
	case reflect.Bool:
		parsed, err := strconv.ParseBool(text)
		if err != nil {
			return strconv.Quote(text) + " is not true or false"
		}
		value.SetBool(parsed)
	case reflect.Int, reflect.Int64:
		parsed, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return strconv.Quote(text) + " is not a whole number"
		}
		value.SetInt(parsed)
		return checkBounds(float64(parsed), tag)
	case reflect.Float64:
		parsed, err := strconv.ParseFloat(text, 64)
		if err != nil || parsed != parsed {
			return strconv.Quote(text) + " is not a number"
		}
		value.SetFloat(parsed)
		return checkBounds(parsed, tag)
	case reflect.Slice:
		return setSlice(value, text, tag)
	default:
		return "settings of type " + value.Type().String() + " are not supported"
	}
	return ""
}

func setString(value reflect.Value, text string, tag reflect.StructTag) string {
	if choices, ok := tag.Lookup("oneof"); ok && !slices.Contains(strings.Fields(choices), text) {
		return strconv.Quote(text) + " is not one of: " + choices
	}
	value.SetString(text)
	return ""
}

func setDuration(value reflect.Value, text string, tag reflect.StructTag) string {
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return strconv.Quote(text) + " is not a duration such as 500ms or 3s"
	}
	value.SetInt(int64(parsed))
	if low, ok := tag.Lookup("min"); ok {
		if bound, err := time.ParseDuration(low); err == nil && parsed < bound {
			return text + " is below the minimum " + low
		}
	}
	if high, ok := tag.Lookup("max"); ok {
		if bound, err := time.ParseDuration(high); err == nil && parsed > bound {
			return text + " is above the maximum " + high
		}
	}
	return ""
}

// setAddrPort accepts numeric IP addresses only, since processes must not depend on name resolution.
func setAddrPort(value reflect.Value, text string) string {
	if text == "" {
		value.Set(reflect.ValueOf(netip.AddrPort{}))
		return ""
	}
	parsed, err := netip.ParseAddrPort(text)
	if err != nil {
		return strconv.Quote(text) + " is not an IP address with a port"
	}
	value.Set(reflect.ValueOf(parsed))
	return ""
}

func setSlice(value reflect.Value, text string, tag reflect.StructTag) string {
	list := reflect.MakeSlice(value.Type(), 0, 0)
	for part := range strings.SplitSeq(text, ",") {
		if strings.TrimSpace(part) == "" {
			continue
		}
		item := reflect.New(value.Type().Elem()).Elem()
		if message := setValue(item, part, tag); message != "" {
			return message
		}
		list = reflect.Append(list, item)
	}
	value.Set(list)
	return ""
}

func checkBounds(number float64, tag reflect.StructTag) string {
	if low, ok := tag.Lookup("min"); ok {
		if bound, err := strconv.ParseFloat(low, 64); err == nil && number < bound {
			return strconv.FormatFloat(number, 'g', -1, 64) + " is below the minimum " + low
		}
	}
	if high, ok := tag.Lookup("max"); ok {
		if bound, err := strconv.ParseFloat(high, 64); err == nil && number > bound {
			return strconv.FormatFloat(number, 'g', -1, 64) + " is above the maximum " + high
		}
	}
	return ""
}
