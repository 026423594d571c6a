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

// byteOrderMark precedes the files that some spreadsheet programs export.
var byteOrderMark = []byte("\xef\xbb\xbf")

// ParseInventory reads an inventory and returns it, or all findings. file appears in the findings.
func ParseInventory(file string, format Format, raw []byte) (*Inventory, findings.List) {
	checker := newInventoryChecker(file)
	if len(raw) > MaxInventoryBytes {
		checker.addf(0, "", "", "the inventory has %d bytes, and at most %d are allowed", len(raw), MaxInventoryBytes)
		return checker.finish()
	}
	raw = bytes.TrimPrefix(raw, byteOrderMark)
	switch format {
	case FormatCSV:
		checker.readCSV(raw)
	case FormatJSON:
		checker.readJSON(raw)
	default:
		checker.addf(0, "", "", "unknown inventory format %.20q", string(format))
	}
	return checker.finish()
}

func (c *inventoryChecker) readCSV(raw []byte) {
	reader := csv.NewReader(bytes.NewReader(raw))
	reader.FieldsPerRecord = -1
	reader.ReuseRecord = true
	var columns []string
	for !c.full() && len(c.workers) <= MaxWorkers {
		record, err := reader.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		var broken *csv.ParseError
		if errors.As(err, &broken) {
			c.addf(broken.Line, "", "", "not CSV: %v", broken.Err)
			continue
		}
		if err != nil {
			c.addf(0, "", "", "not CSV: %v", err)
			return
		}
		if columns == nil {
			columns = c.header(record, reader)
			continue
		}
		c.csvRow(columns, record, reader)
	}
	if columns == nil && c.found.Len() == 0 {
		c.addf(1, "", "", "the line with the names of the columns is missing")
	}
}

// header checks the first line and returns the names of the columns.
func (c *inventoryChecker) header(record []string, reader *csv.Reader) []string {
	columns := make([]string, 0, len(record))
	for i, field := range record {
		name := strings.ToLower(strings.TrimSpace(field))
		line, _ := reader.FieldPos(i)
		switch {
		case !knownColumn(name):
			c.addf(line, "", clip(name), "unknown column")
		case slices.Contains(columns, name):
			c.addf(line, "", name, "column is given more than once")
		}
		columns = append(columns, name)
	}
	for _, name := range requiredColumns {
		if !slices.Contains(columns, name) {
			c.addf(1, "", name, "required column is missing")
		}
	}
	return columns
}

func (c *inventoryChecker) csvRow(columns, record []string, reader *csv.Reader) {
	line, _ := reader.FieldPos(0)
	if len(record) != len(columns) {
		c.addf(line, "", "", "row has %d fields, and the header has %d", len(record), len(columns))
		return
	}
	cells := make(map[string]cell, len(record))
	for i, field := range record {
		at, _ := reader.FieldPos(i)
		cells[columns[i]] = cell{text: field, line: at}
	}
	c.add(row{cells: cells, line: line})
}
