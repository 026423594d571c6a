// Command standin-audit reads the run histories of the stand-in workers and checks them against the guarantees of the
// fleet.
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

// domainGrace is how long tasks may still start in a failure domain after it was taken out of service.
const domainGrace = 5 * time.Second

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

func command() *cobra.Command {
	var port int
	var outages []string
	c := &cobra.Command{
		Use: "standin-audit INVENTORY", Short: "Check the run histories of the stand-in workers", Args: cobra.ExactArgs(1),
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			records, err := collectRecords(args[0], port)
			if err != nil {
				return err
			}
			outageList, err := parseOutages(outages)
			if err != nil {
				return err
			}
			summary, violations := audit.Check(records, outageList, domainGrace)
			fmt.Fprintf(cmd.OutOrStdout(), "%d tasks in %d runs, %d finished, %d starts from a checkpoint, %d violations\n",
				summary.Tasks, summary.Runs, summary.Finished, summary.Resumed, len(violations))
			if len(violations) > 0 {
				return eris.New(strings.Join(violations, "\n"))
			}
			return nil
		},
	}
	c.Flags().IntVar(&port, "worker-port", 7700, "port of the workers' task API, at the address of their agents")
	c.Flags().StringArrayVar(&outages, "out", nil, "DOMAIN:FROM:TO, a period out of service in Unix milliseconds; TO may be 0")
	return c
}

// collectRecords fetches the run history of each worker in an inventory.
func collectRecords(path string, port int) ([]audit.WorkerHistory, error) {
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
		record, err := fetchRecord(w, port)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func fetchRecord(w structs.Worker, port int) (audit.WorkerHistory, error) {
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

func parseOutages(values []string) ([]audit.Outage, error) {
	var outages []audit.Outage
	for _, text := range values {
		parts := strings.Split(text, ":")
		if len(parts) != 3 {
			return nil, eris.Errorf("--out %q is not DOMAIN:FROM:TO", text)
		}
		from, errFrom := strconv.ParseInt(parts[1], 10, 64)
		to, errTo := strconv.ParseInt(parts[2], 10, 64)
		if errFrom != nil || errTo != nil {
			return nil, eris.Errorf("--out %q: times are not whole milliseconds", text)
		}
		outages = append(outages, audit.Outage{
			Domain: parts[0], From: from * time.Millisecond.Nanoseconds(), To: to * time.Millisecond.Nanoseconds(),
		})
	}
	return outages, nil
}
