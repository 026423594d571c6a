package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sort"
)

// jsonReader reads tokens and knows the line of each.
type jsonReader struct {
	decoder  *json.Decoder
	newlines []int
}

func newJSONReader(raw []byte) *jsonReader {
	r := &jsonReader{decoder: json.NewDecoder(bytes.NewReader(raw))}
	r.decoder.UseNumber()
	for i, b := range raw {
		if b == '\n' {
			r.newlines = append(r.newlines, i)
		}
	}
	return r
}

// line returns the line on which the last token ended.
func (r *jsonReader) line() int {
	return sort.SearchInts(r.newlines, int(r.decoder.InputOffset())) + 1
}

// readJSON reads an array of objects, or an object with the array under "workers".
func (c *inventoryChecker) readJSON(raw []byte) {
	r := newJSONReader(raw)
	if err := c.jsonWorkers(r); err != nil {
		line := r.line()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line = sort.SearchInts(r.newlines, int(syntax.Offset)-1) + 1
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		c.addf(line, "", "", "not a JSON inventory: %v", err)
	}
}

func (c *inventoryChecker) jsonWorkers(r *jsonReader) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	wrapped := token == json.Delim('{')
	if wrapped {
		if err := c.expectWorkersKey(r); err != nil {
			return err
		}
		if token, err = r.decoder.Token(); err != nil {
			return err
		}
	}
	if token != json.Delim('[') {
		return errors.New("an array of workers is expected")
	}
	for r.decoder.More() && !c.full() && len(c.workers) <= MaxWorkers {
		if err := c.jsonWorker(r); err != nil {
			return err
		}
	}
	if c.full() || len(c.workers) > MaxWorkers {
		return nil
	}
	return c.expectEnd(r, wrapped)
}

func (c *inventoryChecker) expectWorkersKey(r *jsonReader) error {
	key, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if key != "workers" {
		return fmt.Errorf("key \"workers\" is expected, and %.80q was found", fmt.Sprint(key))
	}
	return nil
}

// expectEnd reads the closing delimiters and records unknown keys after the array.
func (c *inventoryChecker) expectEnd(r *jsonReader, wrapped bool) error {
	if _, err := r.decoder.Token(); err != nil {
		return err
	}
	for wrapped {
		token, err := r.decoder.Token()
		if err != nil {
			return err
		}
		if token == json.Delim('}') {
			break
		}
		c.addf(r.line(), "", clip(fmt.Sprint(token)), "unknown key")
		var skipped json.RawMessage
		if err := r.decoder.Decode(&skipped); err != nil {
			return err
		}
	}
	if _, err := r.decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("text follows the inventory")
	}
	return nil
}

func (c *inventoryChecker) jsonWorker(r *jsonReader) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return errors.New("an object for a worker is expected")
	}
	read := row{cells: map[string]cell{}, line: r.line()}
	for r.decoder.More() {
		if err := c.jsonField(r, &read); err != nil {
			return err
		}
	}
	if _, err := r.decoder.Token(); err != nil {
		return err
	}
	for _, name := range requiredColumns {
		if _, ok := read.cells[name]; !ok {
			c.addf(read.line, clip(read.cells[columnWorker].text), name, "required key is missing")
		}
	}
	c.add(read)
	return nil
}

// jsonField reads one key with its value, which must be a string or a number.
func (c *inventoryChecker) jsonField(r *jsonReader, read *row) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	key, _ := token.(string)
	line := r.line()
	section := clip(read.cells[columnWorker].text)
	var value any
	if err := r.decoder.Decode(&value); err != nil {
		return err
	}
	_, repeated := read.cells[key]
	switch typed := value.(type) {
	case string:
		read.cells[key] = cell{text: typed, line: line}
	case json.Number:
		read.cells[key] = cell{text: typed.String(), line: line}
	default:
		c.addf(line, section, clip(key), "a string or a number is expected")
	}
	switch {
	case !slices.Contains(requiredColumns, key) && !slices.Contains(optionalColumns, key):
		c.addf(line, section, clip(key), "unknown key")
	case repeated:
		c.addf(line, section, key, "key is given more than once")
	}
	return nil
}
