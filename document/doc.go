// Package document defines the service document: the one YAML file with which
// a team describes its service, with its strict parser, checks and differences.
package document
