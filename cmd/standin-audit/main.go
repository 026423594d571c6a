// Command standin-audit reads what the stand-in workers recorded and checks it against the guarantees of the fleet.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/structs"
	"github.com/quetzalshed/quetzalshed/test/audit"
)

// domainGrace is how long after a failure domain was taken out a start is still allowed.
const domainGrace = 5 * time.Second

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	var port int
	var outages []string
	c := &cobra.Command{
		Use: "standin-audit INVENTORY", Short: "Check the records of the stand-in workers", Args: cobra.ExactArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			records, err := collect(args[0], port)
			if err != nil {
				return err
			}
			list, err := parseOutages(outages)
			if err != nil {
				return err
			}
			summary, violations := audit.Check(records, list, domainGrace)
			fmt.Fprintf(cmd.OutOrStdout(), "%d tasks in %d runs, %d finished, %d starts from a checkpoint, %d violations\n",
				summary.Tasks, summary.Runs, summary.Finished, summary.Resumed, len(violations))
			if len(violations) > 0 {
				return eris.New(strings.Join(violations, "\n"))
			}
			return nil
		},
	}
	c.Flags().IntVar(&port, "worker-port", 7700, "port of the workers' task API, at the address of their agents")
	c.Flags().StringArrayVar(&outages, "out", nil, "DOMAIN:FROM:TO, a span out of service in Unix milliseconds; TO may be 0")
	return c
}

func collect(path string, port int) ([]audit.WorkerHistory, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading the inventory")
	}
	inventory, found := config.ParseInventory(path, config.FormatCSV, raw)
	if err := found.Err(); err != nil {
		return nil, err
	}
	var records []audit.WorkerHistory
	for _, w := range inventory.Workers {
		record, err := fetch(w, port)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func fetch(w structs.Worker, port int) (audit.WorkerHistory, error) {
	record := audit.WorkerHistory{Worker: w}
	agent, err := netip.ParseAddrPort(w.Address)
	if err != nil {
		return record, eris.Wrap(err, "address of "+w.Name)
	}
	response, err := http.Get("http://" + netip.AddrPortFrom(agent.Addr(), uint16(port)).String() + "/history")
	if err != nil {
		return record, eris.Wrap(err, "reading the history of "+w.Name)
	}
	defer response.Body.Close()
	err = json.NewDecoder(response.Body).Decode(&record.Runs)
	return record, eris.Wrap(err, "decoding the history of "+w.Name)
}

func parseOutages(texts []string) ([]audit.Outage, error) {
	var list []audit.Outage
	for _, text := range texts {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return nil, eris.Errorf("--out %q is not DOMAIN:FROM:TO", text)
		}
		from, errFrom := strconv.ParseInt(parts[1], 10, 64)
		to, errTo := strconv.ParseInt(parts[2], 10, 64)
		if errFrom != nil || errTo != nil {
			return nil, eris.Errorf("--out %q: times are not whole milliseconds", text)
		}
		list = append(list, audit.Outage{
			Domain: parts[0], From: from * time.Millisecond.Nanoseconds(), To: to * time.Millisecond.Nanoseconds(),
		})
	}
	return list, nil
}
