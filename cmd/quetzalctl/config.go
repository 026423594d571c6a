package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"time"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
)

// changeFlags are the flags of commands that change the configuration.
type changeFlags struct {
	base   int64
	change string
}

// currentBase is the default of --base: the change is based on the current revision.
const currentBase = -1

func (f *changeFlags) add(cmd *cobra.Command) {
	cmd.Flags().Int64Var(&f.base, "base", currentBase, "revision on which the change is based (default: the current one)")
	cmd.Flags().StringVar(&f.change, "change", "", "ID of the change; repeating a change with its ID applies it once")
}

// query returns the query parameters of a change. It generates the ID of the change if none was given.
func (f *changeFlags) query() url.Values {
	query := url.Values{}
	if f.base != currentBase {
		query.Set("base", strconv.FormatInt(f.base, 10))
	}
	if f.change == "" {
		f.change = config.NewChangeID()
	}
	query.Set("change", f.change)
	return query
}

// resolveBase reads the current revision unless one was given. Changes of the inventory and the rules require one.
func (f *changeFlags) resolveBase(ctx context.Context, c *client) error {
	if f.base != currentBase {
		return nil
	}
	var status config.Status
	if err := c.call(ctx, http.MethodGet, "/v1/config", nil, nil, &status); err != nil {
		return err
	}
	f.base = status.Head.Revision
	return nil
}

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
	var inventory *config.Inventory
	var rules *config.ParsedRules
	if inventoryPath != "" {
		raw, err := readFile(inventoryPath, config.MaxInventoryBytes)
		if err != nil {
			return err
		}
		var fileFindings findings.List
		inventory, fileFindings = config.ParseInventory(inventoryPath, inventoryFormat(inventoryPath), raw)
		allFindings.Merge(fileFindings)
	}
	if rulesPath != "" {
		raw, err := readFile(rulesPath, config.MaxRulesBytes)
		if err != nil {
			return err
		}
		var fileFindings findings.List
		rules, fileFindings = config.ParseRules(rulesPath, raw)
		allFindings.Merge(fileFindings)
	}
	if inventory != nil && rules != nil {
		allFindings.Merge(rules.Check(inventory))
	}
	return allFindings.Err()
}

// validateAndPrint validates an inventory and rules, and prints that the named file, which is one of them, is valid.
func validateAndPrint(cmd *cobra.Command, name, inventoryPath, rulesPath string) error {
	if err := validateFiles(inventoryPath, rulesPath); err != nil {
		return err
	}
	return printValid(cmd, name)
}

func inventoryCommand(o *options) *cobra.Command {
	var check bool
	var rules string
	var flags changeFlags
	apply := &cobra.Command{
		Use: "apply FILE", Short: "Replace the inventory with a CSV or JSON file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if check {
				return validateAndPrint(cmd, args[0], args[0], rules)
			}
			query := url.Values{"format": {string(inventoryFormat(args[0]))}, "file": {args[0]}}
			return applyFile(cmd, o, flags, "/v1/config/inventory", query, args[0], config.MaxInventoryBytes)
		},
	}
	apply.Flags().BoolVar(&check, "check", false, "validate the file without calling an entry")
	apply.Flags().StringVar(&rules, "rules", "", "with --check: rules file to check against the inventory")
	flags.add(apply)
	group := &cobra.Command{Use: "inventory", Short: "Change the inventory"}
	group.AddCommand(apply)
	return group
}

func rulesCommand(o *options) *cobra.Command {
	var check bool
	var inventory string
	var flags changeFlags
	apply := &cobra.Command{
		Use: "apply FILE", Short: "Replace the rules with an INI file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if check {
				return validateAndPrint(cmd, args[0], inventory, args[0])
			}
			return applyFile(cmd, o, flags, "/v1/config/rules", url.Values{"file": {args[0]}}, args[0], config.MaxRulesBytes)
		},
	}
	apply.Flags().BoolVar(&check, "check", false, "validate the file without calling an entry")
	apply.Flags().StringVar(&inventory, "inventory", "", "with --check: inventory to check the rules against")
	flags.add(apply)
	group := &cobra.Command{Use: "rules", Short: "Change the rules"}
	group.AddCommand(apply)
	return group
}

func printValid(cmd *cobra.Command, path string) error {
	_, err := fmt.Fprintln(cmd.OutOrStdout(), path+": valid")
	return err
}

func applyFile(cmd *cobra.Command, o *options, flags changeFlags, path string, query url.Values, file string, limit int64) error {
	data, err := readFile(file, limit)
	if err != nil {
		return err
	}
	c, err := o.client()
	if err != nil {
		return err
	}
	if err := flags.resolveBase(cmd.Context(), c); err != nil {
		return err
	}
	maps.Copy(query, flags.query())
	var head config.Head
	if err := c.call(cmd.Context(), http.MethodPut, path, query, data, &head); err != nil {
		return addChangeID(err, flags.change)
	}
	return printAccepted(cmd, head)
}

// addChangeID adds the change ID to an error if the result of the change is unknown. Repeating the change with this ID
// applies it at most once.
func addChangeID(err error, change string) error {
	if exitStatus(err) != exitResultUnknown {
		return err
	}
	return &exitError{exitResultUnknown, fmt.Errorf("%w (change %s)", err, change)}
}

func printAccepted(cmd *cobra.Command, head config.Head) error {
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "revision %d in force (change %s)\n", head.Revision, head.ChangeID())
	return err
}

func domainCommand(o *options) *cobra.Command {
	group := &cobra.Command{Use: "domain", Short: "Take failure domains out of service and return them"}
	for state, short := range map[string]string{
		"out": "Take a failure domain out of service", "in": "Return a failure domain to service",
	} {
		var flags changeFlags
		cmd := &cobra.Command{
			Use: state + " NAME", Short: short, Args: cobra.ExactArgs(1),
			RunE: func(cmd *cobra.Command, args []string) error {
				c, err := o.client()
				if err != nil {
					return err
				}
				query := flags.query()
				var head config.Head
				path := "/v1/failure-domains/" + url.PathEscape(args[0]) + "/" + state
				if err := c.call(cmd.Context(), http.MethodPost, path, query, nil, &head); err != nil {
					return addChangeID(err, flags.change)
				}
				return printAccepted(cmd, head)
			},
		}
		flags.add(cmd)
		group.AddCommand(cmd)
	}
	return group
}

func configCommand(o *options) *cobra.Command {
	group := &cobra.Command{Use: "config", Short: "Inspect the configuration"}
	group.AddCommand(&cobra.Command{
		Use: "show [rules|inventory]", Short: "Print the head, the rules or the inventory in force as JSON",
		Args: cobra.MaximumNArgs(1), ValidArgs: []string{"rules", "inventory"},
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/config"
			if len(args) == 1 {
				if args[0] != "rules" && args[0] != "inventory" {
					return fmt.Errorf("%q is neither rules nor inventory", args[0])
				}
				path += "/" + args[0]
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			var reply any
			if err := c.call(cmd.Context(), http.MethodGet, path, nil, nil, &reply); err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), reply)
		},
	})
	return group
}

func statusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use: "status", Short: "Print the revision in force and the failure domains", Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			c, err := o.client()
			if err != nil {
				return err
			}
			var status config.Status
			if err := c.call(cmd.Context(), http.MethodGet, "/v1/config", nil, nil, &status); err != nil {
				return err
			}
			return printStatus(cmd.OutOrStdout(), status)
		},
	}
}

func printStatus(w io.Writer, status config.Status) error {
	confirmed := "never"
	if status.ConfirmedAgeMillis != config.UnconfirmedAge {
		confirmed = (time.Duration(status.ConfirmedAgeMillis) * time.Millisecond).String() + " ago"
	}
	fmt.Fprintf(w, "revision   %d (loaded %d)\nconfirmed  %s\nworkers    %d\n",
		status.Head.Revision, status.LoadedRevision, confirmed, status.Head.Workers())
	for _, name := range slices.Sorted(maps.Keys(status.Head.Domains)) {
		domain := status.Head.Domains[name]
		state := "in service"
		if domain.Out {
			state = "out of service"
		}
		if _, err := fmt.Fprintf(w, "  %-32s %5d workers  %s\n", name, domain.Workers, state); err != nil {
			return err
		}
	}
	return nil
}
