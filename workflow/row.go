package workflow

import (
	"fmt"
	"strconv"

	jsonv2 "github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// Rows in messages and records are JSON arrays of numbers and strings, since an owner reads and writes thousands of
// them a second.

// readRow decodes an array into the cells, each an *int, *int64, *float64 or *string. Cells after the required ones may
// be missing.
func readRow(dec *jsontext.Decoder, required int, cells ...any) error {
	return readCells(dec, required, false, cells)
}

// readExtensibleRow is readRow for rows to which later versions may have added cells, which it skips.
func readExtensibleRow(dec *jsontext.Decoder, required int, cells ...any) error {
	return readCells(dec, required, true, cells)
}

func readCells(dec *jsontext.Decoder, required int, extensible bool, cells []any) error {
	if token, err := dec.ReadToken(); err != nil {
		return err
	} else if token.Kind() != '[' {
		return fmt.Errorf("row expected, %s found", token.Kind())
	}
	read := 0
	for ; dec.PeekKind() != ']'; read++ {
		if extensible && read >= len(cells) {
			if err := dec.SkipValue(); err != nil {
				return err
			}
			continue
		}
		token, err := dec.ReadToken()
		if err != nil {
			return err
		}
		if read == len(cells) {
			return fmt.Errorf("row has more than %d cells", len(cells))
		}
		if err := setCell(cells[read], token); err != nil {
			return fmt.Errorf("cell %d: %w", read, err)
		}
	}
	if read < required {
		return fmt.Errorf("row has %d cells, %d to %d expected", read, required, len(cells))
	}
	_, err := dec.ReadToken()
	return err
}

func setCell(cell any, token jsontext.Token) error {
	want := jsontext.Kind('0')
	if _, isString := cell.(*string); isString {
		want = '"'
	}
	if token.Kind() != want {
		return fmt.Errorf("%s expected, %s found", want, token.Kind())
	}
	var err error
	switch into := cell.(type) {
	case *string:
		*into = token.String()
	case *int:
		var n int64
		n, err = token.Int()
		*into = int(n)
	case *int64:
		*into, err = token.Int()
	case *float64:
		*into, err = token.Float()
	}
	return err
}

// unmarshalRow decodes a row on behalf of encoding/json.
func unmarshalRow(data []byte, row jsonv2.UnmarshalerFrom) error {
	return jsonv2.Unmarshal(data, row, jsontext.AllowInvalidUTF8(true))
}

// appendString appends a JSON string with as few escapes as possible, so that rows take about as many bytes as in the lists of
// executors. Checkpoints and IDs come from these and may contain any bytes; those that are not UTF-8 are replaced.
func appendString(b []byte, s string) []byte {
	// The only error tells that bytes were replaced.
	b, _ = jsontext.AppendQuote(b, s)
	return b
}

// appendDecimal appends a number with one decimal place.
func appendDecimal(b []byte, f float64) []byte { return strconv.AppendFloat(b, f, 'f', 1, 64) }
