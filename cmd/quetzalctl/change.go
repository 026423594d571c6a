package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"net/url"
	"strconv"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
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

// apply sends a change with the parameters of its flags, and prints the revision that it led to.
func (f *changeFlags) apply(cmd *cobra.Command, c *client, method, path string, query url.Values, body []byte) error {
	maps.Copy(query, f.query())
	var head config.Head
	if err := c.call(cmd.Context(), method, path, query, body, &head); err != nil {
		return addID(err, "change", f.change)
	}
	_, err := fmt.Fprintf(cmd.OutOrStdout(), "revision %d in force (change %s)\n", head.Revision, head.ChangeID())
	return err
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

func inventoryCommand(o *options) *cobra.Command {
	var rules string
	apply := applyCommand(o, &appliedFile{
		short: "Replace the inventory with a CSV or JSON file", path: "/v1/config/inventory", limit: config.MaxInventoryBytes,
		query: func(file string) url.Values {
			return url.Values{"format": {string(inventoryFormat(file))}, "file": {file}}
		},
		validate: func(file string) error { return validateFiles(file, rules) },
	})
	apply.Flags().StringVar(&rules, "rules", "", "with --check: rules file to check against the inventory")
	return groupOf(apply, "inventory", "Change the inventory")
}

func rulesCommand(o *options) *cobra.Command {
	var inventory string
	apply := applyCommand(o, &appliedFile{
		short: "Replace the rules with an INI file", path: "/v1/config/rules", limit: config.MaxRulesBytes,
		query:    func(file string) url.Values { return url.Values{"file": {file}} },
		validate: func(file string) error { return validateFiles(inventory, file) },
	})
	apply.Flags().StringVar(&inventory, "inventory", "", "with --check: inventory to check the rules against")
	return groupOf(apply, "rules", "Change the rules")
}

// appliedFile describes a part of the configuration that is replaced with a file.
type appliedFile struct {
	short, path string
	limit       int64
	query       func(file string) url.Values
	validate    func(file string) error
}

// applyCommand returns the command that replaces a part of the configuration, or validates the file if --check is given.
func applyCommand(o *options, f *appliedFile) *cobra.Command {
	var check bool
	var flags changeFlags
	apply := &cobra.Command{
		Use: "apply FILE", Short: f.short, Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			if !check {
				return applyFile(cmd, o, flags, f.path, f.query(args[0]), args[0], f.limit)
			}
			if err := f.validate(args[0]); err != nil {
				return err
			}
			return printValid(cmd, args[0])
		},
	}
	apply.Flags().BoolVar(&check, "check", false, "validate the file without calling an entry")
	flags.add(apply)
	return apply
}

func groupOf(cmd *cobra.Command, use, short string) *cobra.Command {
	group := &cobra.Command{Use: use, Short: short}
	group.AddCommand(cmd)
	return group
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
	return flags.apply(cmd, c, http.MethodPut, path, query, data)
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
				path := "/v1/failure-domains/" + url.PathEscape(args[0]) + "/" + state
				return flags.apply(cmd, c, http.MethodPost, path, url.Values{}, nil)
			},
		}
		flags.add(cmd)
		group.AddCommand(cmd)
	}
	return group
}
