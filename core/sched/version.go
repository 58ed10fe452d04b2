package sched

import "waxwingwall"

// mayRunOn reports whether an endpoint serves the job's model and, if the job has
// output, is of the version that produced it.
func (j *job) mayRunOn(e *endpoint) bool {
	return e.serves(j.work.Model) && (j.tokens == 0 || e.spec.Version == j.version)
}

// servesVersion reports whether any endpoint of the pool may run the job, now or later.
func (p *pool) servesVersion(j *job) bool {
	for _, e := range p.endpoints {
		if !e.spec.Leaving && j.mayRunOn(e) {
			return true
		}
	}
	return j.tokens == 0
}

// setVersion sets the version of the job's output with the first output of an attempt.
func (j *job) setVersion(tokens waxwingwall.Tokens) {
	if j.tokens == 0 && tokens > 0 {
		j.version = j.attemptVersion
	}
}
