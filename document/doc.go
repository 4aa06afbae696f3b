// Package document parses, checks and compares service documents. A service
// document is the YAML file in which a team describes its service.
package document
