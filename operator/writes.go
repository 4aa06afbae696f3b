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

// sentDocument is a document sent by an operator: its text and the result of checking it.
type sentDocument struct {
	text     string
	document *chicoryhall.Document
	problems strict.Problems
}

// readDocument reads and checks the text. It refuses one that is too long or belongs to another service or team.
func (s *Server) readDocument(w http.ResponseWriter, r *http.Request, team string) (sentDocument, bool) {
	text, err := io.ReadAll(io.LimitReader(r.Body, document.MaxBytes+1))
	if err != nil {
		s.refuse(w, r, &Problem{Type: problemType + "malformed", Status: http.StatusBadRequest, Detail: "the body cannot be read: " + err.Error()})
		return sentDocument{}, false
	}
	if len(text) > document.MaxBytes {
		s.refuse(w, r, &Problem{
			Type: problemType + "too-large", Status: http.StatusRequestEntityTooLarge, Field: "body",
			Detail: fmt.Sprintf("the document is longer than %d bytes", document.MaxBytes),
		})
		return sentDocument{}, false
	}
	d, problems := document.Check(string(serviceName(r)), text)
	if len(problems.Errors()) == 0 && !s.checkOwner(w, r, d, team) {
		return sentDocument{}, false
	}
	return sentDocument{text: string(text), document: d, problems: problems}, true
}

// checkOwner refuses a document whose service or team is not that of the request.
func (s *Server) checkOwner(w http.ResponseWriter, r *http.Request, d *chicoryhall.Document, team string) bool {
	if d.Service != serviceName(r) {
		s.refuse(w, r, &Problem{
			Type: problemType + "malformed", Status: http.StatusUnprocessableEntity, Field: "service",
			Detail: fmt.Sprintf("the document is of service %s and was sent to %s", d.Service, serviceName(r)),
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
	if !s.authorizeTeam(w, r, team) {
		return
	}
	base, ok := s.baseVersion(w, r)
	if !ok {
		return
	}
	sent, ok := s.readDocument(w, r, team)
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
	v, err := s.config.Documents.Publish(ctx, configuration.Proposal{Service: serviceName(r), Text: sent.text, BaseVersion: base, Author: team})
	if err != nil {
		s.refuse(w, r, s.publishProblem(err, serviceName(r), sent.text))
		return
	}
	w.Header().Set("ETag", v.ETag())
	writeJSON(w, http.StatusOK, ApplyResult{Service: v.Service, Number: v.Number, Digest: v.Digest, Warnings: warnings})
}

// baseVersion returns the number of the version on which the change is based: the number in the ETag of If-Match, or 0
// for a new service. It refuses a request without a valid ETag. It reports a conflict if the ETag has the number of the
// newest version but another digest, as after a restore of the table.
func (s *Server) baseVersion(w http.ResponseWriter, r *http.Request) (int64, bool) {
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
	base, err := strconv.ParseInt(number, 10, 64)
	if !isTag || err != nil || base < 1 {
		s.refuse(w, r, &Problem{
			Type: problemType + "malformed", Status: http.StatusBadRequest, Field: "If-Match",
			Detail: fmt.Sprintf("%s is no ETag of a document; send the one that GET gave", tag),
		})
		return 0, false
	}
	v, known := s.config.Documents.Version(serviceName(r))
	if known && v.Number == base && v.ETag() != tag {
		s.refuse(w, r, s.conflict(&configuration.ConflictError{Service: v.Service, BaseVersion: base, NewestVersion: base}, ""))
		return 0, false
	}
	return base, true
}

// publishProblem returns the Problem for a failed Publish. The change was not accepted or, if the result of writing it to
// the table is unknown (see table.IsUnsettled), may have been accepted.
func (s *Server) publishProblem(err error, service chicoryhall.ServiceName, text string) *Problem {
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

// conflict returns the Problem for a change that is not based on the newest version, with the difference to that.
func (s *Server) conflict(conflict *configuration.ConflictError, text string) *Problem {
	problem := &Problem{Type: problemType + "conflict", Status: http.StatusPreconditionFailed, Field: "If-Match", Detail: conflict.Error()}
	v, known := s.config.Documents.Version(conflict.Service)
	if known {
		problem.ETag = v.ETag()
		problem.Difference = document.Difference("your change", text, fmt.Sprintf("version %d", v.Number), v.Text)
	}
	return problem
}

// check answers with the problems and effects of a change without applying it.
func (s *Server) check(w http.ResponseWriter, r *http.Request, team string) {
	if !s.authorizeTeam(w, r, team) {
		return
	}
	sent, ok := s.readDocument(w, r, team)
	if !ok {
		return
	}
	v, _ := s.config.Documents.Version(serviceName(r))
	result := CheckResult{Number: v.Number, Problems: sent.problems}
	result.Difference = document.Difference(fmt.Sprintf("version %d", v.Number), v.Text, "your change", sent.text)
	if len(sent.problems.Errors()) == 0 {
		result.Effects = s.effects(sent.document)
	}
	writeJSON(w, http.StatusOK, result)
}

// effects returns the warnings of document.Effects, and warnings about organisations whose
// current request rate is above the new limit.
func (s *Server) effects(after *chicoryhall.Document) []string {
	var effects []string
	if before, known := s.config.Documents.Current(after.Service); known {
		effects = document.Effects(before.Document, after)
	}
	if s.config.CurrentRate == nil {
		return effects
	}
	for _, organisation := range after.Organisations {
		rate := s.config.CurrentRate(after.Service, organisation.Name)
		if rate > organisation.RequestsPerSecond {
			effects = append(effects, fmt.Sprintf("%s now sends %.1f requests a second, above its limit of %g",
				organisation.Name, rate, organisation.RequestsPerSecond))
		}
	}
	return effects
}
