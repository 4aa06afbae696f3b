package caller

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/requests"
)

const (
	// maxTokens limits the length of an answer.
	maxTokens = 32 << 10
	// maxTimeout limits the timeout that a caller may ask for.
	maxTimeout = 10 * time.Minute
	// maxKeyBytes limits the length of an idempotency key.
	maxKeyBytes = 255
)

// DecodeSubmission decodes and checks a submission. Unknown fields are not allowed. The Problem
// names the field that is wrong.
func DecodeSubmission(body []byte, kind chicoryhall.ServiceKind) (Submission, *Problem) {
	var submission Submission
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&submission); err != nil {
		return Submission{}, invalidField("body", "the body is not a submission in JSON: "+err.Error())
	}
	if _, err := decoder.Token(); err != io.EOF {
		return Submission{}, invalidField("body", "the body goes on behind the submission")
	}
	return submission, checkSubmission(&submission, kind)
}

func checkSubmission(submission *Submission, kind chicoryhall.ServiceKind) *Problem {
	switch {
	case submission.Class == "":
		return invalidField("class", "the class is missing")
	case kind == chicoryhall.ServicePipeline && submission.Prompt == "":
		return invalidField("prompt", "the prompt is missing")
	case kind == chicoryhall.ServicePipeline && (submission.MaxTokens < 1 || submission.MaxTokens > maxTokens):
		return invalidField("maxTokens", fmt.Sprintf("%d is not between 1 and %d", submission.MaxTokens, maxTokens))
	case kind == chicoryhall.ServicePlain && submission.Operation == "":
		return invalidField("operation", "the operation is missing")
	case kind == chicoryhall.ServicePlain && (submission.Prompt != "" || submission.MaxTokens != 0):
		return invalidField("prompt", "a plain service takes operation and body instead")
	case kind == chicoryhall.ServicePipeline && (submission.Operation != "" || submission.Body != ""):
		return invalidField("operation", "a pipeline service takes prompt and maxTokens instead")
	}
	return nil
}

func invalidField(field, detail string) *Problem {
	problem := malformedProblem(field, detail)
	return &problem
}

// readSubmission reads a submission with its headers and checks it against the service's document.
func (s *Server) readSubmission(r *http.Request, service chicoryhall.ServiceName) (requests.Submission, *Problem) {
	current, found := s.config.Documents.Current(service)
	if !found {
		problem := newProblem(http.StatusNotFound, reasonNotFound, "service", fmt.Sprintf("there is no service %q", service))
		return requests.Submission{}, &problem
	}
	document := current.Document
	credential, _ := credentialOf(r)
	organisation, allowed := organisationOf(document, credential)
	if !allowed {
		problem := unauthorizedProblem()
		return requests.Submission{}, &problem
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil || len(body) > maxBodyBytes { // An error of reading gets the same Problem.
		problem := tooLargeProblem()
		return requests.Submission{}, &problem
	}
	submission, problem := DecodeSubmission(body, document.Kind)
	if problem != nil {
		return requests.Submission{}, problem
	}
	class, found := requests.FindClass(document, submission.Class)
	if !found {
		return requests.Submission{}, invalidField("class", fmt.Sprintf("service %q has no class %q", service, submission.Class))
	}
	record, problem := s.readHeaders(r, class)
	if problem != nil {
		return requests.Submission{}, problem
	}
	record.Service, record.Organisation, record.Class = service, organisation, class.Name
	record.Prompt, record.MaxTokens = submission.Prompt, submission.MaxTokens
	record.Operation, record.Body = submission.Operation, submission.Body
	return requests.Submission{Document: document, Class: class, Record: record}, nil
}

// readHeaders returns a record with the data from the headers of a submission.
func (s *Server) readHeaders(r *http.Request, class chicoryhall.DocumentClass) (chicoryhall.RequestRecord, *Problem) {
	timeout, problem := timeoutOf(r, class)
	if problem != nil {
		return chicoryhall.RequestRecord{}, problem
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return chicoryhall.RequestRecord{}, invalidField(HeaderIdempotencyKey, fmt.Sprintf("the key is longer than %d bytes", maxKeyBytes))
	}
	if key == "" && !class.Idempotent {
		return chicoryhall.RequestRecord{}, invalidField(HeaderIdempotencyKey,
			fmt.Sprintf("requests of class %q run at most once and need a key", class.Name))
	}
	return chicoryhall.RequestRecord{
		IdempotencyKey: key, Async: isAsync(r), Deadline: s.config.Timer.Now().Add(timeout),
		TraceParent: r.Header.Get(HeaderTraceParent),
	}, nil
}

func timeoutOf(r *http.Request, class chicoryhall.DocumentClass) (time.Duration, *Problem) {
	text := r.Header.Get(HeaderRequestTimeout)
	if text == "" {
		return class.Timeout, nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 || timeout > maxTimeout {
		return 0, invalidField(HeaderRequestTimeout, fmt.Sprintf("%q is not a time with a unit between 0s and %s", text, maxTimeout))
	}
	return timeout, nil
}

func isAsync(r *http.Request) bool {
	return strings.Contains(r.Header.Get("Prefer"), PreferAsync)
}
