package caller_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/caller"
)

// FuzzDecodeSubmission expects either a valid submission or a Problem that names a field.
func FuzzDecodeSubmission(f *testing.F) {
	seeds := []string{
		`{"class":"query","prompt":"torque","maxTokens":5}`,
		`{"class":"hold","operation":"hold","body":"hall 3"}`,
		`{"class":"query","prompt":"torque","maxTokens":-1}`,
		`{"class":"query","prompt":"torque","maxTokens":1e9}`,
		`{"class":"query","prompt":"torque","maxTokens":5}{}`,
		`{"CLASS":"query","prompt":"\ud800","maxTokens":5}`,
		`{"class":"query","unknown":1}`, `{"class"`, `null`, `[]`, ``, "\x00",
	}
	for _, seed := range seeds {
		f.Add([]byte(seed), true)
		f.Add([]byte(seed), false)
	}
	f.Fuzz(func(t *testing.T, body []byte, pipeline bool) {
		kind := chicoryhall.ServicePlain
		if pipeline {
			kind = chicoryhall.ServicePipeline
		}
		submission, problem := caller.DecodeSubmission(body, kind)
		if problem != nil {
			must.NotEq(t, "", problem.Field)
			must.Eq(t, 400, problem.Status)
			must.Eq(t, chicoryhall.OutcomeNotRun, problem.Outcome)
			return
		}
		must.NotEq(t, "", submission.Class)
		must.Eq(t, pipeline, submission.Prompt != "" && submission.MaxTokens > 0)
		must.Eq(t, !pipeline, submission.Operation != "")
	})
}
