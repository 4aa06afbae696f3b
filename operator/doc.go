// Package operator is the administration API of a daemon and its client: teams
// check, change and read the documents of their services and see where each
// version is in force.
//
//	GET  /v1/documents                    DocumentList of the team's services
//	GET  /v1/documents/{service}          the text in force, with its ETag
//	PUT  /v1/documents/{service}          a new text; If-Match: ETAG, or If-None-Match: * for a new service
//	POST /v1/documents/{service}/check    CheckResult of a text that is not applied
//	GET  /v1/documents/{service}/history  History
//	GET  /v1/documents/{service}/history/{number}  the text of one version
//	GET  /v1/documents/{service}/status   Status
//	GET  /healthz                         204 while the process answers
//
// Each request but the last carries "Authorization: Bearer TOKEN". Refusals are
// Problem bodies (RFC 9457); a change that another came before gets 412 with the
// difference between the two.
package operator
