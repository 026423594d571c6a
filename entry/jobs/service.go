// Package jobs serves the job API of an entry: it validates and stores jobs, and forwards queries and cancellations to
// the owners of shards.
package jobs

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/quetzalshed/quetzalshed/clock"
	"github.com/quetzalshed/quetzalshed/config"
	"github.com/quetzalshed/quetzalshed/findings"
	"github.com/quetzalshed/quetzalshed/shard"
	"github.com/quetzalshed/quetzalshed/shard/partition"
	"github.com/quetzalshed/quetzalshed/store"
	"github.com/quetzalshed/quetzalshed/structs"
)

// errUnknownResult means that it is unknown whether a job was accepted.
var errUnknownResult = errors.New("jobs: result unknown; repeat the call with the same ID")

// Owners sends requests to the owners of shards.
type Owners interface {
	Submit(ctx context.Context, shard int, job structs.Job) error
	Status(ctx context.Context, shard int, id string) (structs.JobStatus, error)
	Jobs(ctx context.Context, shard int) ([]structs.JobStatus, error)
	Cancel(ctx context.Context, shard int, id string) (structs.JobStatus, error)
}

// ConfigSource provides the current rules and inventory.
type ConfigSource interface {
	Rules() *config.Rules
	Inventory() *config.Inventory
}

// Service submits, queries and cancels jobs. It is safe for concurrent use.
type Service struct {
	store        store.Store
	clock        clock.Clock
	configSource ConfigSource
	owners       Owners
}

// NewService returns a service that stores jobs in s.
func NewService(s store.Store, c clock.Clock, configSource ConfigSource, owners Owners) *Service {
	return &Service{store: s, clock: c, configSource: configSource, owners: owners}
}

func (s *Service) shardFor(id string) int {
	return partition.JobShard(id, s.configSource.Rules().Shards)
}

// Submit validates a job and stores it. Once it returns nil, the job is durable. Submitting the same job again with the
// same ID is idempotent.
func (s *Service) Submit(ctx context.Context, raw []byte) (structs.Job, error) {
	job, found := parseJob(raw, s.configSource.Inventory())
	if err := found.Err(); err != nil {
		return job, err
	}
	if job.ID == "" {
		job.ID = "job-" + strings.ToLower(rand.Text())
	}
	if job.Name == "" {
		job.Name = job.ID
	}
	if job.Class == "" {
		job.Class = job.Name
	}
	job.Accepted = s.clock.Now().UTC().Round(0)
	shardIndex := s.shardFor(job.ID)
	if err := s.create(ctx, shardIndex, job); err != nil {
		return job, err
	}
	// Notify the owner. It finds the job in the store if this message is lost.
	_ = s.owners.Submit(ctx, shardIndex, job)
	return job, nil
}

// create stores a job under its key.
func (s *Service) create(ctx context.Context, shardIndex int, job structs.Job) error {
	value, err := json.Marshal(job)
	if err != nil {
		return eris.Wrap(err, "encoding the job")
	}
	key := shard.JobKey(shardIndex, job.ID)
	_, err = s.store.Put(ctx, key, value, store.PutOptions{})
	if err == nil || errors.Is(err, store.ErrUnavailable) {
		return err
	}
	if !errors.Is(err, store.ErrConflict) && !errors.Is(err, store.ErrUnknownResult) {
		return eris.Wrap(err, "storing the job")
	}
	entry, readErr := s.store.Get(ctx, key)
	if readErr == nil {
		return verifySameJob(entry.Value, job)
	}
	// The owner may have taken over the job and deleted its key.
	if _, statusErr := s.owners.Status(ctx, shardIndex, job.ID); statusErr == nil {
		return nil
	}
	return errUnknownResult
}

// verifySameJob returns nil if a stored job equals the submitted one, and otherwise a finding about the duplicate ID.
func verifySameJob(stored []byte, job structs.Job) error {
	var known structs.Job
	if err := json.Unmarshal(stored, &known); err != nil {
		return eris.Wrap(err, "decoding the stored job")
	}
	known.Accepted = job.Accepted
	a, errA := json.Marshal(known)
	b, errB := json.Marshal(job)
	if errA == nil && errB == nil && string(a) == string(b) {
		return nil
	}
	var found findings.List
	found.Addf(findings.Location{File: "job", Key: "id"}, "another job has the ID %q", job.ID)
	return found.Err()
}

// Status returns the state of a job, including one that its owner hasn't taken over yet.
func (s *Service) Status(ctx context.Context, id string) (structs.JobStatus, error) {
	shardIndex := s.shardFor(id)
	status, err := s.owners.Status(ctx, shardIndex, id)
	if !errors.Is(err, shard.ErrUnknownJob) {
		return status, err
	}
	job, err := s.readStored(ctx, shardIndex, id)
	if err != nil {
		return status, err
	}
	return structs.JobStatus{
		ID: id, Kind: job.Kind, Tasks: job.Tasks, Counts: map[structs.TaskState]int{structs.TaskPending: job.Tasks},
	}, nil
}

// readStored returns a job that its owner hasn't taken over yet, or shard.ErrUnknownJob.
func (s *Service) readStored(ctx context.Context, shardIndex int, id string) (structs.Job, error) {
	var job structs.Job
	entry, err := s.store.Get(ctx, shard.JobKey(shardIndex, id))
	if errors.Is(err, store.ErrNotFound) {
		return job, shard.ErrUnknownJob
	}
	if err != nil {
		return job, eris.Wrap(err, "reading the job")
	}
	return job, eris.Wrap(json.Unmarshal(entry.Value, &job), "decoding the job")
}

// Cancel cancels a job. Once it returns nil, the cancellation is durable.
func (s *Service) Cancel(ctx context.Context, id string) (structs.JobStatus, error) {
	shardIndex := s.shardFor(id)
	status, err := s.owners.Cancel(ctx, shardIndex, id)
	if !errors.Is(err, shard.ErrUnknownJob) {
		return status, err
	}
	job, err := s.readStored(ctx, shardIndex, id)
	if err != nil {
		return status, err
	}
	if err := s.owners.Submit(ctx, shardIndex, job); err != nil {
		return status, err
	}
	return s.owners.Cancel(ctx, shardIndex, id)
}

// List returns the state of all jobs that the owners have taken over.
func (s *Service) List(ctx context.Context) (structs.JobList, error) {
	list := structs.JobList{Jobs: []structs.JobStatus{}}
	for shardIndex := range s.configSource.Rules().Shards {
		jobs, err := s.owners.Jobs(ctx, shardIndex)
		if err != nil {
			return list, eris.Wrapf(err, "shard %d", shardIndex)
		}
		list.Jobs = append(list.Jobs, jobs...)
	}
	return list, nil
}
