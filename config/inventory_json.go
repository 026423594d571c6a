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

// jsonReader decodes JSON tokens and tracks line numbers.
type jsonReader struct {
	decoder        *json.Decoder
	newlineOffsets []int
}

func newJSONReader(raw []byte) *jsonReader {
	r := &jsonReader{decoder: json.NewDecoder(bytes.NewReader(raw))}
	r.decoder.UseNumber()
	for i, b := range raw {
		if b == '\n' {
			r.newlineOffsets = append(r.newlineOffsets, i)
		}
	}
	return r
}

// line returns the line on which the last token ended.
func (r *jsonReader) line() int {
	return sort.SearchInts(r.newlineOffsets, int(r.decoder.InputOffset())) + 1
}

// parseJSON parses an array of workers, or an object with that array under the key "workers".
func (p *inventoryParser) parseJSON(raw []byte) {
	r := newJSONReader(raw)
	if err := p.parseJSONWorkers(r); err != nil {
		line := r.line()
		var syntax *json.SyntaxError
		if errors.As(err, &syntax) {
			line = sort.SearchInts(r.newlineOffsets, int(syntax.Offset)-1) + 1
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		p.addf(line, "", "", "not a JSON inventory: %v", err)
	}
}

func (p *inventoryParser) parseJSONWorkers(r *jsonReader) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	wrapped := token == json.Delim('{')
	if wrapped {
		if err := p.expectWorkersKey(r); err != nil {
			return err
		}
		if token, err = r.decoder.Token(); err != nil {
			return err
		}
	}
	if token != json.Delim('[') {
		return errors.New("an array of workers is expected")
	}
	for r.decoder.More() && !p.tooManyFindings() && len(p.workers) <= MaxWorkers {
		if err := p.parseJSONWorker(r); err != nil {
			return err
		}
	}
	if p.tooManyFindings() || len(p.workers) > MaxWorkers {
		return nil
	}
	return p.expectEnd(r, wrapped)
}

func (p *inventoryParser) expectWorkersKey(r *jsonReader) error {
	key, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if key != "workers" {
		return fmt.Errorf("key \"workers\" is expected, and %.80q was found", fmt.Sprint(key))
	}
	return nil
}

// expectEnd consumes the closing delimiters and records unknown keys after the array.
func (p *inventoryParser) expectEnd(r *jsonReader, wrapped bool) error {
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
		p.addf(r.line(), "", truncate(fmt.Sprint(token)), "unknown key")
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

func (p *inventoryParser) parseJSONWorker(r *jsonReader) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	if token != json.Delim('{') {
		return errors.New("an object for a worker is expected")
	}
	workerRow := row{cells: map[string]cell{}, line: r.line()}
	for r.decoder.More() {
		if err := p.parseJSONField(r, &workerRow); err != nil {
			return err
		}
	}
	if _, err := r.decoder.Token(); err != nil {
		return err
	}
	for _, name := range requiredColumns {
		if _, ok := workerRow.cells[name]; !ok {
			p.addf(workerRow.line, truncate(workerRow.cells[columnWorker].text), name, "required key is missing")
		}
	}
	p.addWorker(workerRow)
	return nil
}

// parseJSONField parses one key and its value, which must be a string or a number.
func (p *inventoryParser) parseJSONField(r *jsonReader, workerRow *row) error {
	token, err := r.decoder.Token()
	if err != nil {
		return err
	}
	key, _ := token.(string)
	line := r.line()
	section := truncate(workerRow.cells[columnWorker].text)
	var value any
	if err := r.decoder.Decode(&value); err != nil {
		return err
	}
	_, repeated := workerRow.cells[key]
	switch typed := value.(type) {
	case string:
		workerRow.cells[key] = cell{text: typed, line: line}
	case json.Number:
		workerRow.cells[key] = cell{text: typed.String(), line: line}
	default:
		p.addf(line, section, truncate(key), "a string or a number is expected")
	}
	switch {
	case !slices.Contains(requiredColumns, key) && !slices.Contains(optionalColumns, key):
		p.addf(line, section, truncate(key), "unknown key")
	case repeated:
		p.addf(line, section, key, "key is given more than once")
	}
	return nil
}
