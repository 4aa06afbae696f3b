package operator

import (
	"context"
	"fmt"
	"net/http"
	"strconv"

	"chicoryhall.example/chicoryhall/configuration"
)

func (s *Server) list(w http.ResponseWriter, _ *http.Request, team string) {
	list := DocumentList{Documents: []configuration.VersionRef{}}
	for _, v := range s.config.Documents.Versions() {
		inForce, known := s.config.Documents.Current(v.Service)
		if known && inForce.Document.Team == team {
			list.Documents = append(list.Documents, v.Ref())
		}
	}
	writeJSON(w, http.StatusOK, list)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request, team string) {
	if !s.authorizeTeam(w, r, team) || !s.requireDocument(w, r) {
		return
	}
	v, _ := s.config.Documents.Version(serviceName(r))
	writeVersion(w, v)
}

func writeVersion(w http.ResponseWriter, v configuration.Version) {
	w.Header().Set("Content-Type", mediaTypeYAML)
	w.Header().Set("Content-Length", strconv.Itoa(len(v.Text)))
	w.Header().Set("ETag", v.ETag())
	_, _ = w.Write([]byte(v.Text)) // A write fails only if the operator has disconnected.
}

// readHistory reads all versions of the service that the request names, or refuses the request.
func (s *Server) readHistory(w http.ResponseWriter, r *http.Request, team string) ([]configuration.Version, bool) {
	if !s.authorizeTeam(w, r, team) || !s.requireDocument(w, r) {
		return nil, false
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	versions, err := s.config.Documents.History(ctx, serviceName(r))
	if err != nil {
		s.refuse(w, r, unavailable("the history is in the platform's table, which cannot be read now", err))
		return nil, false
	}
	return versions, true
}

func (s *Server) history(w http.ResponseWriter, r *http.Request, team string) {
	versions, ok := s.readHistory(w, r, team)
	if !ok {
		return
	}
	history := History{Versions: []HistoryEntry{}}
	for _, v := range versions {
		history.Versions = append(history.Versions, HistoryEntry{
			Number: v.Number, Digest: v.Digest, Author: v.Author, AcceptedMillis: v.AcceptedMillis,
		})
	}
	writeJSON(w, http.StatusOK, history)
}

// historyText answers with the text of one version.
func (s *Server) historyText(w http.ResponseWriter, r *http.Request, team string) {
	versions, ok := s.readHistory(w, r, team)
	if !ok {
		return
	}
	for _, v := range versions {
		if strconv.FormatInt(v.Number, 10) == r.PathValue("number") {
			writeVersion(w, v)
			return
		}
	}
	s.refuse(w, r, &Problem{
		Type: problemType + "not-found", Status: http.StatusNotFound, Field: "number",
		Detail: fmt.Sprintf("service %s has no version %q; \"chicoryctl history\" lists them", serviceName(r), r.PathValue("number")),
	})
}

func (s *Server) status(w http.ResponseWriter, r *http.Request, team string) {
	if !s.authorizeTeam(w, r, team) || !s.requireDocument(w, r) {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	v, _ := s.config.Documents.Version(serviceName(r))
	status := Status{Newest: v.Number}
	for _, daemon := range s.config.Documents.Status(ctx) {
		entry := DaemonVersion{Daemon: daemon.Daemon, FailureDomain: daemon.FailureDomain, Reachable: daemon.Reachable, Error: daemon.Error}
		for _, ref := range daemon.Refs {
			if ref.Service == v.Service {
				entry.Number, entry.Digest = ref.Number, ref.Digest
			}
		}
		status.Newest = max(status.Newest, entry.Number)
		status.Daemons = append(status.Daemons, entry)
	}
	writeJSON(w, http.StatusOK, status)
}

// unavailable returns the Problem for a request that failed because the platform's table could not be used.
func unavailable(reason string, err error) *Problem {
	return &Problem{
		Type: problemType + "unavailable", Status: http.StatusServiceUnavailable,
		Detail: fmt.Sprintf("%s; try again in a few seconds: %v", reason, err),
	}
}
