package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// credentialScheme starts a document's credential.
const credentialScheme = "sha256:"

// credentialOf returns a request's bearer token in the form that documents hold.
func credentialOf(r *http.Request) (string, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	return credentialScheme + hex.EncodeToString(sum[:]), true
}

// organisationOf finds the organisation of a service that has the credential.
func organisationOf(document *chicoryhall.Document, credential string) (chicoryhall.Organisation, bool) {
	for i := range document.Organisations {
		known := &document.Organisations[i]
		if subtle.ConstantTimeCompare([]byte(known.Credential), []byte(credential)) == 1 {
			return known.Name, true
		}
	}
	return "", false
}

// organisationsOf finds the organisations of all services that have the credential.
func (s *Server) organisationsOf(credential string) []chicoryhall.Organisation {
	var found []chicoryhall.Organisation
	for _, inForce := range s.parts.Documents.All() {
		if organisation, ok := organisationOf(inForce.Document, credential); ok {
			found = append(found, organisation)
		}
	}
	return found
}
