// Package csapi holds the types, paths, headers and outcome values of the HTTP interfaces for callers and operators.
package csapi

import (
	"net/url"
	"strconv"

	"cowslipstream.example/cowslipstream/csmodel"
)

// Patterns of the interface for callers, in the form that http.ServeMux takes.
const (
	IssueKeys   = "POST /v1/keys"
	SendRequest = "POST /v1/jobs/{job}/requests"
	SubmitTask  = "POST /v1/jobs/{job}/tasks"
	ReadTask    = "GET /v1/tasks/{task}"
	CancelTask  = "DELETE /v1/tasks/{task}"
)

// Patterns of the interface for operators, in the form that http.ServeMux takes.
const (
	SubmitRevision = "POST /v1/revisions"
	ReadRevision   = "GET /v1/revisions/{revision}"
	ReadStatus     = "GET /v1/status"
	ReadDump       = "GET /v1/dump"
	StartDrain     = "POST /v1/drains"
	ReadWaves      = "GET /v1/waves"
	PauseWave      = "POST /v1/waves/{wave}/pause"
	ResumeWave     = "POST /v1/waves/{wave}/resume"
	ReadMetrics    = "GET /metrics"
)

// Names of the wildcards in the patterns, for http.Request.PathValue.
const (
	JobParameter      = "job"
	TaskParameter     = "task"
	RevisionParameter = "revision"
	WaveParameter     = "wave"
)

// CountParameter is the query parameter of IssueKeys with the number of keys.
const CountParameter = "count"

// LatestRevision stands for the newest accepted revision in the path of ReadRevision.
const LatestRevision = "latest"

// Paths without wildcards.
const (
	KeysPath      = "/v1/keys"
	RevisionsPath = "/v1/revisions"
	StatusPath    = "/v1/status"
	DumpPath      = "/v1/dump"
	DrainsPath    = "/v1/drains"
	WavesPath     = "/v1/waves"
)

// RequestsPath returns the path that takes requests of a job.
func RequestsPath(job csmodel.JobID) string {
	return "/v1/jobs/" + url.PathEscape(string(job)) + "/requests"
}

// TasksPath returns the path that takes tasks of a job.
func TasksPath(job csmodel.JobID) string {
	return "/v1/jobs/" + url.PathEscape(string(job)) + "/tasks"
}

// TaskPath returns the path of one task.
func TaskPath(task csmodel.TaskID) string {
	return "/v1/tasks/" + url.PathEscape(string(task))
}

// RevisionPath returns the path of one revision. Revision 0 stands for the newest accepted one.
func RevisionPath(revision csmodel.Revision) string {
	if revision == 0 {
		return RevisionsPath + "/" + LatestRevision
	}
	return RevisionsPath + "/" + strconv.FormatUint(uint64(revision), 10)
}

// PausePath returns the path that pauses a wave.
func PausePath(wave csmodel.WaveID) string {
	return WavesPath + "/" + url.PathEscape(string(wave)) + "/pause"
}

// ResumePath returns the path that resumes a wave.
func ResumePath(wave csmodel.WaveID) string {
	return WavesPath + "/" + url.PathEscape(string(wave)) + "/resume"
}
