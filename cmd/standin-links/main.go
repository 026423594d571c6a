// Command standin-links forwards the connections between the processes of a fleet on one machine and delays those between
// failure domains. The process that opened a connection determines the failure domain from which it comes.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strings"
	"sync"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/kernel"
	"github.com/quetzalshed/quetzalshed/test/faultnet"
)

func main() { kernel.Execute(command(), kernel.GenericExitStatus) }

type options struct {
	listen, links, processes string
	delay                    LinkDelay
}

func command() *cobra.Command {
	var o options
	c := &cobra.Command{
		Use: "standin-links", Short: "Forward connections with the delay of links between failure domains", Args: cobra.NoArgs,
		SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error { return o.run(cmd.Context()) },
	}
	flags := c.Flags()
	flags.StringVar(&o.listen, "listen", "127.0.0.1:0", "IP address and port of the control API")
	flags.StringVar(&o.links, "links", "", "file with a line LISTEN TARGET DOMAIN per link; domain * delays all processes")
	flags.StringVar(&o.processes, "processes", "", "file with a line PID DOMAIN for each process; lines may be added later")
	flags.DurationVar(&o.delay.Min, "least", defaultMinDelay, "minimum one-way delay")
	flags.DurationVar(&o.delay.MeanExtra, "variable", defaultMeanExtra, "mean of the exponentially distributed part of the delay")
	flags.Float64Var(&o.delay.LossRate, "loss", defaultLossRate, "fraction of messages that are lost and retransmitted")
	for _, name := range []string{"links", "processes"} {
		_ = c.MarkFlagRequired(name)
	}
	c.AddCommand(kernel.VersionCommand())
	return c
}

// noDomain is the domain of a link whose target is in no failure domain. All processes reach it with a delay.
const noDomain = "*"

func (o *options) run(ctx context.Context) error {
	links, err := readFields(o.links, 3)
	if err != nil {
		return err
	}
	n := &network{forwarders: map[string]*faultnet.Forwarder{}}
	defer n.close()
	finder := &processFinder{path: o.processes}
	for _, link := range links {
		f, err := faultnet.ListenAt(link[0], link[1])
		if err != nil {
			return err
		}
		n.forwarders[link[0]] = f
		f.SetClientDelay(delaysTo(link[0], link[2], finder, o.delay))
	}
	return kernel.ServeUntil(ctx, o.listen, n)
}

// readFields reads a file in which each line has the given number of fields.
func readFields(path string, fields int) ([][]string, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, eris.Wrap(err, "reading a file of links or processes")
	}
	defer file.Close()
	var list [][]string
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		found := strings.Fields(lines.Text())
		if len(found) != fields {
			return nil, eris.Errorf("%s: line %q does not have %d fields", path, lines.Text(), fields)
		}
		list = append(list, found)
	}
	return list, eris.Wrap(lines.Err(), "reading a file of links or processes")
}

// CutRequest is the body of PUT /cut. The links that listen on these addresses accept connections but forward nothing;
// all other links work. When a link works again, its connections from before are reset.
type CutRequest struct {
	Addresses []string `json:"addresses"`
}

// network serves the control API and holds the forwarders by the address on which they listen.
type network struct {
	mu         sync.Mutex
	forwarders map[string]*faultnet.Forwarder
	// silent holds the addresses of the links that forward nothing.
	silent map[string]bool
}

func (n *network) close() {
	for _, f := range n.forwarders {
		f.Close()
	}
}

// ServeHTTP implements http.Handler.
func (n *network) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request CutRequest
	if r.Method != http.MethodPut || r.URL.Path != "/cut" {
		http.NotFound(w, r)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := n.setCutLinks(request.Addresses); err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
	}
}

// setCutLinks makes the links of the given addresses silent and restores all others.
func (n *network) setCutLinks(addresses []string) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	silent := map[string]bool{}
	for _, address := range addresses {
		if n.forwarders[address] == nil {
			return eris.Errorf("no link listens on %s", address)
		}
		silent[address] = true
	}
	for address, f := range n.forwarders {
		switch {
		case silent[address] && !n.silent[address]:
			f.SetBlackholeNew(true)
			f.Blackhole()
		case !silent[address] && n.silent[address]:
			f.SetBlackholeNew(false)
			f.Cut()
		}
	}
	n.silent = silent
	return nil
}
