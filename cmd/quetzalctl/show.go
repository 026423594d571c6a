package main

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
)

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
