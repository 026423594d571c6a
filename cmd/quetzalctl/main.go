// Command quetzalctl applies inventories and rules, takes failure domains out of service and returns them, and submits
// and inspects jobs. It talks to an entry.
//
// Exit status: 0 on success, 1 when the input is rejected, 2 on a conflict with another operator, 3 when the change was
// not applied and may be repeated, 4 when its result is unknown.
package main

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/kernel"
)

func main() { kernel.Execute(command(), exitStatus) }

// options holds the flags that all commands share.
type options struct {
	entry string
}

func (o *options) client() (*client, error) { return newClient(o.entry) }

func command() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use: "quetzalctl", Short: "Operate a quetzalshed fleet", SilenceUsage: true, SilenceErrors: true,
	}
	root.PersistentFlags().StringVar(&o.entry, "entry", "127.0.0.1:7800", "IP address and port of an entry")
	root.AddCommand(
		inventoryCommand(o), rulesCommand(o), domainCommand(o), configCommand(o), jobCommand(o), statusCommand(o),
		kernel.VersionCommand(),
	)
	return root
}

func printJSON(w io.Writer, value any) error {
	raw, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(w, string(raw))
	return err
}
