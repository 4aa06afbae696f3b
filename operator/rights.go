package operator

import (
	"fmt"
	"net/http"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// problemType starts the type of each Problem.
const problemType = "urn:chicoryhall:problem:"

// teamHandler answers a request of a team's operator.
type teamHandler func(w http.ResponseWriter, r *http.Request, team string)

// authorized lets requests with a known token through.
func (s *Server) authorized(handle teamHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		token, isBearer := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		team, known := s.parts.Tokens.Team(token)
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

func serviceOf(r *http.Request) chicoryhall.ServiceName {
	return chicoryhall.ServiceName(r.PathValue("service"))
}

// owns refuses a request for a service of another team.
func (s *Server) owns(w http.ResponseWriter, r *http.Request, team string) bool {
	inForce, known := s.parts.Documents.Current(serviceOf(r))
	if !known || inForce.Document.Team == team {
		return true
	}
	s.refuse(w, r, forbidden(serviceOf(r), inForce.Document.Team, team))
	return false
}

func forbidden(service chicoryhall.ServiceName, owner, team string) *Problem {
	return &Problem{
		Type: problemType + "forbidden", Status: http.StatusForbidden, Field: "team",
		Detail: fmt.Sprintf("service %s belongs to team %s and your token to team %s; use a token of %s", service, owner, team, owner),
	}
}

// found refuses a request for a service without a document.
func (s *Server) found(w http.ResponseWriter, r *http.Request) bool {
	if _, known := s.parts.Documents.Current(serviceOf(r)); known {
		return true
	}
	s.refuse(w, r, &Problem{
		Type: problemType + "not-found", Status: http.StatusNotFound, Field: "service",
		Detail: fmt.Sprintf("there is no document of service %q; \"chicoryctl get\" without a service lists yours", serviceOf(r)),
	})
	return false
}
