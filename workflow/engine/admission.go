package engine

// Admission is what allowed a start on an executor, as of the decision.
type Admission struct {
	// ConfigVersion is the version of the configuration in force.
	ConfigVersion int64
	// Queue is the name of the job's queue, and Pool the pool that it is sent to. QueueRemoved is set if the configuration in force
	// lacks the queue, so that the pool is that of the queue when the job was accepted.
	Queue, Pool  string
	QueueRemoved bool
	// ExecutorPool and ExecutorLabels are the pool and the labels that the executor had announced.
	ExecutorPool   string
	ExecutorLabels []string
	// Label is the label that the step asks for; empty if any executor will do.
	Label string
	// Limit is the limit of the step's tasks on one executor; 0 if there is none. Counted is how many of them the owner counted
	// there, with this one; 0 if there is no limit.
	Limit, Counted int
}

// admission returns what allowed the start of a task on the executor that it has just been assigned to.
func (e *Engine) admission(t *task) Admission {
	executor := &t.node.executor
	a := Admission{
		ConfigVersion: e.config.Version, Queue: t.job.Queue.Name, ExecutorPool: executor.Pool, ExecutorLabels: executor.Labels,
		Label: t.step.Label, Limit: t.step.PerExecutor,
	}
	if q := e.config.Queue(a.Queue); q != nil {
		a.Pool = q.Pool
	} else {
		a.Pool, a.QueueRemoved = t.job.Queue.Pool, true
	}
	if a.Limit > 0 {
		a.Counted = t.node.countTasks(t.group)
	}
	return a
}
