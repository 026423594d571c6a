package main

import (
	"encoding/json"
	"net/http"
	"net/url"

	"github.com/spf13/cobra"

	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/structs"
)

// maxJobBytes limits the size of a job file.
const maxJobBytes = 1 << 20

func jobCommand(o *options) *cobra.Command {
	group := &cobra.Command{Use: "job", Short: "Submit and inspect jobs"}
	group.AddCommand(
		submitCommand(o),
		jobRequestCommand(o, "status ID", "Print the state of a job", http.MethodGet, 1),
		jobRequestCommand(o, "cancel ID", "Cancel a job", http.MethodDelete, 1),
		jobRequestCommand(o, "list", "List the jobs", http.MethodGet, 0),
	)
	return group
}

// submitCommand returns the command that submits a job. It generates an ID for a job without one and prints it if the
// result is unknown, so that submitting the job again with this ID creates it only once.
func submitCommand(o *options) *cobra.Command {
	var check bool
	cmd := &cobra.Command{
		Use: "submit FILE", Short: "Submit a job from a JSON file", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			job, err := readJob(args[0])
			if err != nil {
				return err
			}
			if check {
				return printValid(cmd, args[0])
			}
			if job.ID == "" {
				job.ID = config.NewChangeID()
			}
			body, err := json.Marshal(job)
			if err != nil {
				return err
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			var reply any
			if err := c.call(cmd.Context(), http.MethodPost, "/v1/jobs", nil, body, &reply); err != nil {
				return addID(err, "job", job.ID)
			}
			return printJSON(cmd.OutOrStdout(), reply)
		},
	}
	cmd.Flags().BoolVar(&check, "check", false, "validate the file without calling an entry")
	return cmd
}

// readJob decodes a job file and reports all unknown keys and missing values in one error. The entry validates the rest.
func readJob(path string) (structs.Job, error) {
	raw, err := readFile(path, maxJobBytes)
	if err != nil {
		return structs.Job{}, err
	}
	var problems findings.List
	addf := func(key, format string, args ...any) {
		problems.Addf(findings.Location{File: path, Key: key}, format, args...)
	}
	if len(raw) > maxJobBytes {
		addf("", "the job has more than %d bytes", maxJobBytes)
		return structs.Job{}, problems.Err()
	}
	var job structs.Job
	if err := json.Unmarshal(raw, &job); err != nil {
		addf("", "not a JSON job: %v", err)
		return structs.Job{}, problems.Err()
	}
	reportUnknownKeys(raw, addf)
	if job.Team == "" {
		addf("team", "a team is required")
	}
	if job.Kind != structs.KindBatch && job.Kind != structs.KindService {
		addf("kind", "%.40q is neither batch nor service", string(job.Kind))
	}
	if job.Tasks < 1 {
		addf("tasks", "at least one task is required")
	}
	if job.Resources.MilliCores < 1 || job.Resources.MemoryMB < 1 || job.Resources.Accelerators < 0 {
		addf("resources", "milli_cores and memory_mb must be above 0")
	}
	return job, problems.Err()
}

// reportUnknownKeys reports the keys of a job file that are not keys of a job.
func reportUnknownKeys(raw []byte, addf func(key, format string, args ...any)) {
	empty, err := json.Marshal(structs.Job{})
	if err != nil {
		return
	}
	var allowed, given map[string]json.RawMessage
	if json.Unmarshal(empty, &allowed) != nil || json.Unmarshal(raw, &given) != nil {
		return
	}
	for _, key := range []string{"urgent", "spread_domains", "expected_seconds", "command"} {
		allowed[key] = nil // Keys with omitempty are missing from the encoding of an empty job.
	}
	for key := range given {
		if _, ok := allowed[key]; !ok {
			addf(key, "unknown key")
		}
	}
}

// jobRequestCommand returns a command that sends one request to the jobs API and prints the response. With an argument,
// the request is for the job of that ID.
func jobRequestCommand(o *options, use, short, method string, argCount int) *cobra.Command {
	return &cobra.Command{
		Use: use, Short: short, Args: cobra.ExactArgs(argCount),
		RunE: func(cmd *cobra.Command, args []string) error {
			path := "/v1/jobs"
			if len(args) == 1 {
				path += "/" + url.PathEscape(args[0])
			}
			c, err := o.client()
			if err != nil {
				return err
			}
			var reply any
			if err := c.call(cmd.Context(), method, path, nil, nil, &reply); err != nil {
				return err
			}
			return printJSON(cmd.OutOrStdout(), reply)
		},
	}
}
