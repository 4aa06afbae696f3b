package operator

import (
	"fmt"
	"net/http"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// problemType is the prefix of each Problem's Type.
const problemType = "urn:chicoryhall:problem:"

// teamHandler handles a request made with the token of the given team.
type teamHandler func(w http.ResponseWriter, r *http.Request, team string)

// authenticated returns a handler that passes requests with a known token on to handle and refuses all others.
func (s *Server) authenticated(handle teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		team, known := s.config.Tokens.Team(token)
		if !isBearer || !known {
			w.Header().Set("WWW-Authenticate", "Bearer")
			s.refuse(w, r, &Problem{
				Type: problemType + "unauthorized", Status: http.StatusUnauthorized, Field: "Authorization",
				Detail: "the token is missing or unknown; send the token of your team, which the daemon reads from " + EnvironmentTokens + " or its file",
			})
			return
		}
		handle(w, r, team)
	}
}

func serviceName(r *http.Request) chicoryhall.ServiceName {
	return chicoryhall.ServiceName(r.PathValue("service"))
}

// authorizeTeam refuses a request for another team's service and returns false. A service without a document belongs to
// no team.
func (s *Server) authorizeTeam(w http.ResponseWriter, r *http.Request, team string) bool {
	inForce, known := s.config.Documents.Current(serviceName(r))
	if !known || inForce.Document.Team == team {
		return true
	}
	s.refuse(w, r, forbidden(serviceName(r), inForce.Document.Team, team))
	return false
}

func forbidden(service chicoryhall.ServiceName, owner, team string) *Problem {
	return &Problem{
		Type: problemType + "forbidden", Status: http.StatusForbidden, Field: "team",
		Detail: fmt.Sprintf("service %s belongs to team %s and your token to team %s; use a token of %s", service, owner, team, owner),
	}
}

// requireDocument refuses a request for a service without a document and returns false.
func (s *Server) requireDocument(w http.ResponseWriter, r *http.Request) bool {
	if _, known := s.config.Documents.Current(serviceName(r)); known {
		return true
	}
	s.refuse(w, r, &Problem{
		Type: problemType + "not-found", Status: http.StatusNotFound, Field: "service",
		Detail: fmt.Sprintf("there is no document of service %q; \"chicoryctl get\" without a service lists yours", serviceName(r)),
	})
	return false
}
