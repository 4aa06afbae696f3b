package caller

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"chicoryhall.example/chicoryhall"
)

// credentialScheme is the beginning of each credential in a document.
const credentialScheme = "sha256:"

// credentialOf returns a request's bearer token in the form in which documents contain it.
func credentialOf(r *http.Request) (string, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found || token == "" {
		return "", false
	}
	sum := sha256.Sum256([]byte(token))
	return credentialScheme + hex.EncodeToString(sum[:]), true
}

// organisationOf returns the organisation that has the credential, among those of a service.
func organisationOf(document *chicoryhall.Document, credential string) (chicoryhall.Organisation, bool) {
	for i := range document.Organisations {
		known := &document.Organisations[i]
		if subtle.ConstantTimeCompare([]byte(known.Credential), []byte(credential)) == 1 {
			return known.Name, true
		}
	}
	return "", false
}

// organisationsOf returns the organisations that have the credential, among those of all services.
func (s *Server) organisationsOf(credential string) []chicoryhall.Organisation {
	var found []chicoryhall.Organisation
	for _, current := range s.config.Documents.All() {
		if organisation, ok := organisationOf(current.Document, credential); ok {
			found = append(found, organisation)
		}
	}
	return found
}
