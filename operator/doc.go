// Package operator implements the operator API of a daemon and its client: teams
// check, change and read the documents of their services and see on which daemons
// each version is in force.
//
//	GET  /v1/documents                    a DocumentList of the team's services
//	GET  /v1/documents/{service}          the newest text, with its ETag
//	PUT  /v1/documents/{service}          applies a new text; needs If-Match: ETAG, or If-None-Match: * for a new service
//	POST /v1/documents/{service}/check    a CheckResult for a text, without applying it
//	GET  /v1/documents/{service}/history  the History
//	GET  /v1/documents/{service}/history/{number}  the text of one version
//	GET  /v1/documents/{service}/status   the Status
//	GET  /healthz                         204 while the process responds
//
// Each request except for /healthz carries "Authorization: Bearer TOKEN". Refusals
// have a Problem body (RFC 9457). A PUT whose base version is no longer the newest
// gets 412 with the difference to the newest version.
package operator
