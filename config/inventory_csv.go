package config

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"slices"
	"strings"

	"github.com/quetzalshed/quetzalshed/findings"
)

// Format names the encoding of an inventory file.
type Format string

// The formats of an inventory.
const (
	FormatCSV  Format = "csv"
	FormatJSON Format = "json"
)

// byteOrderMark is written by some spreadsheet programs at the start of exported files.
var byteOrderMark = []byte("\xef\xbb\xbf")

// ParseInventory parses and validates an inventory file. It returns either the inventory or all findings, which refer
// to the input as file.
func ParseInventory(file string, format Format, raw []byte) (*Inventory, findings.List) {
	parser := newInventoryParser(file)
	if len(raw) > MaxInventoryBytes {
		parser.addf(0, "", "", "the inventory has %d bytes, and at most %d are allowed", len(raw), MaxInventoryBytes)
		return parser.finish()
	}
	raw = bytes.TrimPrefix(raw, byteOrderMark)
	switch format {
	case FormatCSV:
		parser.parseCSV(raw)
	case FormatJSON:
		parser.parseJSON(raw)
	default:
		parser.addf(0, "", "", "unknown inventory format %.20q", string(format))
	}
	return parser.finish()
}

func (p *inventoryParser) parseCSV(raw []byte) {
	reader := csv.NewReader(bytes.NewReader(raw))
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	var columns []string
	for !p.tooManyFindings() && len(p.workers) <= MaxWorkers {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var parseError *csv.ParseError
		if errors.As(err, &parseError) {
			p.addf(parseError.Line, "", "", "not CSV: %v", parseError.Err)
			continue
		}
		if err != nil {
			p.addf(0, "", "", "not CSV: %v", err)
			return
		}
		if columns == nil {
			columns = p.parseHeader(record, reader)
			continue
		}
		p.parseCSVRow(columns, record, reader)
	}
	if columns == nil && p.found.Len() == 0 {
		p.addf(1, "", "", "the line with the names of the columns is missing")
	}
}

// parseHeader validates the first record and returns the column names.
func (p *inventoryParser) parseHeader(record []string, reader *csv.Reader) []string {
	columns := make([]string, 0, len(record))
	for i, field := range record {
		name := strings.ToLower(strings.TrimSpace(field))
		line, _ := reader.FieldPos(i)
		switch {
		case !isKnownColumn(name):
			p.addf(line, "", truncate(name), "unknown column")
		case slices.Contains(columns, name):
			p.addf(line, "", name, "column is given more than once")
		}
		columns = append(columns, name)
	}
	for _, name := range requiredColumns {
		if !slices.Contains(columns, name) {
			p.addf(1, "", name, "required column is missing")
		}
	}
	return columns
}

func (p *inventoryParser) parseCSVRow(columns, record []string, reader *csv.Reader) {
	line, _ := reader.FieldPos(0)
	if len(record) != len(columns) {
		p.addf(line, "", "", "row has %d fields, and the header has %d", len(record), len(columns))
		return
	}
	cells := make(map[string]cell, len(record))
	for i, field := range record {
		fieldLine, _ := reader.FieldPos(i)
		cells[columns[i]] = cell{text: field, line: fieldLine}
	}
	p.addWorker(row{cells: cells, line: line})
}
