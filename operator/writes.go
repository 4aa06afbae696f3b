package operator

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/configuration"
	"chicoryhall.example/chicoryhall/document"
	"chicoryhall.example/chicoryhall/strict"
	"chicoryhall.example/chicoryhall/table"
)

// body is a document's text as it was sent.
type body struct {
	text     string
	document *chicoryhall.Document
	problems strict.Problems
}

// readBody reads and checks the text; it refuses one that is too long or of another service or team.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, team string) (body, bool) {
	text, err := io.ReadAll(io.LimitReader(r.Body, document.MaxBytes+1))
	if err != nil {
		s.refuse(w, r, &Problem{Type: problemType + "malformed", Status: http.StatusBadRequest, Detail: "the body cannot be read: " + err.Error()})
		return body{}, false
	}
	if len(text) > document.MaxBytes {
		s.refuse(w, r, &Problem{
			Type: problemType + "too-large", Status: http.StatusRequestEntityTooLarge, Field: "body",
			Detail: fmt.Sprintf("the document is longer than %d bytes", document.MaxBytes),
		})
		return body{}, false
	}
	d, problems := document.Check(string(serviceOf(r)), text)
	if len(problems.Errors()) == 0 && !s.belongs(w, r, d, team) {
		return body{}, false
	}
	return body{text: string(text), document: d, problems: problems}, true
}

// belongs refuses a document whose service or team is not that of the request.
func (s *Server) belongs(w http.ResponseWriter, r *http.Request, d *chicoryhall.Document, team string) bool {
	if d.Service != serviceOf(r) {
		s.refuse(w, r, &Problem{
			Type: problemType + "malformed", Status: http.StatusUnprocessableEntity, Field: "service",
			Detail: fmt.Sprintf("the document is of service %s and was sent to %s", d.Service, serviceOf(r)),
		})
		return false
	}
	if d.Team != team {
		s.refuse(w, r, forbidden(d.Service, d.Team, team))
		return false
	}
	return true
}

func (s *Server) put(w http.ResponseWriter, r *http.Request, team string) {
	if !s.owns(w, r, team) {
		return
	}
	read, ok := s.readVersion(w, r)
	if !ok {
		return
	}
	sent, ok := s.readBody(w, r, team)
	if !ok {
		return
	}
	if mistakes := sent.problems.Errors(); len(mistakes) > 0 {
		s.refuse(w, r, &Problem{
			Type: problemType + "document", Status: http.StatusUnprocessableEntity,
			Detail: fmt.Sprintf("the document has %d mistakes", len(mistakes)), Problems: sent.problems,
		})
		return
	}
	warnings := s.effects(sent.document)
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	v, err := s.parts.Documents.Publish(ctx, configuration.Proposal{Service: serviceOf(r), Text: sent.text, Read: read, Author: team})
	if err != nil {
		s.refuse(w, r, s.problemOf(err, serviceOf(r), sent.text))
		return
	}
	w.Header().Set("ETag", v.ETag())
	writeJSON(w, http.StatusOK, Accepted{Service: v.Service, Number: v.Number, Digest: v.Digest, Warnings: warnings})
}

// readVersion returns the number of the version that the operator read, from the conditions of the request.
func (s *Server) readVersion(w http.ResponseWriter, r *http.Request) (int64, bool) {
	if r.Header.Get("If-None-Match") == "*" {
		return 0, true
	}
	tag := r.Header.Get("If-Match")
	if tag == "" {
		s.refuse(w, r, &Problem{
			Type: problemType + "condition", Status: http.StatusPreconditionRequired, Field: "If-Match",
			Detail: "send If-Match with the ETag of the version that you changed, or If-None-Match: * for a new service",
		})
		return 0, false
	}
	number, _, isTag := strings.Cut(strings.Trim(tag, "\""), "-")
	read, err := strconv.ParseInt(number, 10, 64)
	if !isTag || err != nil || read < 1 {
		s.refuse(w, r, &Problem{
			Type: problemType + "malformed", Status: http.StatusBadRequest, Field: "If-Match",
			Detail: fmt.Sprintf("%s is no ETag of a document; send the one that GET gave", tag),
		})
		return 0, false
	}
	v, known := s.parts.Documents.Version(serviceOf(r))
	if known && v.Number == read && v.ETag() != tag {
		s.refuse(w, r, s.conflict(&configuration.ConflictError{Service: v.Service, Read: read, Newest: read}, ""))
		return 0, false
	}
	return read, true
}

// problemOf explains why a change was not accepted, or that this is not known.
func (s *Server) problemOf(err error, service chicoryhall.ServiceName, text string) *Problem {
	var conflict *configuration.ConflictError
	if errors.As(err, &conflict) {
		return s.conflict(conflict, text)
	}
	if table.IsUnsettled(err) {
		return &Problem{
			Type: problemType + "unknown", Status: http.StatusGatewayTimeout,
			Detail: fmt.Sprintf("it is not known whether the change was accepted: run \"chicoryctl history %s\" before you apply it again: %v", service, err),
		}
	}
	return unavailable("the change was not accepted, as the platform's table did not take it", err)
}

// conflict tells the operator who came too late what the other change was.
func (s *Server) conflict(conflict *configuration.ConflictError, text string) *Problem {
	problem := &Problem{Type: problemType + "conflict", Status: http.StatusPreconditionFailed, Field: "If-Match", Detail: conflict.Error()}
	v, known := s.parts.Documents.Version(conflict.Service)
	if known {
		problem.ETag = v.ETag()
		problem.Difference = document.Difference("your change", text, fmt.Sprintf("version %d", v.Number), v.Text)
	}
	return problem
}

// check tells what a change would do, and changes nothing.
func (s *Server) check(w http.ResponseWriter, r *http.Request, team string) {
	if !s.owns(w, r, team) {
		return
	}
	sent, ok := s.readBody(w, r, team)
	if !ok {
		return
	}
	v, _ := s.parts.Documents.Version(serviceOf(r))
	result := CheckResult{Number: v.Number, Problems: sent.problems}
	result.Difference = document.Difference(fmt.Sprintf("version %d", v.Number), v.Text, "your change", sent.text)
	if len(sent.problems.Errors()) == 0 {
		result.Effects = s.effects(sent.document)
	}
	writeJSON(w, http.StatusOK, result)
}

// effects warns of what the change takes from callers, present use included.
func (s *Server) effects(after *chicoryhall.Document) []string {
	var effects []string
	if before, known := s.parts.Documents.Current(after.Service); known {
		effects = document.Effects(before.Document, after)
	}
	if s.parts.Use == nil {
		return effects
	}
	for _, organisation := range after.Organisations {
		use := s.parts.Use(after.Service, organisation.Name)
		if use > organisation.RequestsPerSecond {
			effects = append(effects, fmt.Sprintf("%s now sends %.1f requests a second, above its limit of %g",
				organisation.Name, use, organisation.RequestsPerSecond))
		}
	}
	return effects
}
