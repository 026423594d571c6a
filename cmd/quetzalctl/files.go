package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
)

// readFile reads at most limit+1 bytes of a file, so that the parser reports a file that exceeds the limit.
func readFile(path string, limit int64) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	return io.ReadAll(io.LimitReader(file, limit+1))
}

func inventoryFormat(path string) config.Format {
	if filepath.Ext(path) == ".json" {
		return config.FormatJSON
	}
	return config.FormatCSV
}

// validateFiles validates an inventory and rules without calling an entry. Either path may be empty.
func validateFiles(inventoryPath, rulesPath string) error {
	var allFindings findings.List
	inventory, err := parseFile(inventoryPath, config.MaxInventoryBytes, &allFindings, func(raw []byte) (*config.Inventory, findings.List) {
		return config.ParseInventory(inventoryPath, inventoryFormat(inventoryPath), raw)
	})
	if err != nil {
		return err
	}
	rules, err := parseFile(rulesPath, config.MaxRulesBytes, &allFindings, func(raw []byte) (*config.ParsedRules, findings.List) {
		return config.ParseRules(rulesPath, raw)
	})
	if err != nil {
		return err
	}
	if inventory != nil && rules != nil {
		allFindings.Merge(rules.Check(inventory))
	}
	return allFindings.Err()
}

// parseFile reads and parses a file and adds its findings to all. It returns nil if the path is empty.
func parseFile[T any](path string, limit int64, all *findings.List, parse func(raw []byte) (*T, findings.List)) (*T, error) {
	if path == "" {
		return nil, nil
	}
	raw, err := readFile(path, limit)
	if err != nil {
		return nil, err
	}
	parsed, found := parse(raw)
	all.Merge(found)
	return parsed, nil
}

func printValid(cmd *cobra.Command, path string) error {
	_, err := fmt.Fprintln(cmd.OutOrStdout(), path+": valid")
	return err
}
