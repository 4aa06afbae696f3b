package event

import "github.com/charmbracelet/log"

// The events of the operator API and of certificates, 4100 to 4149.
var (
	OperatorsListening = define(4100, log.InfoLevel, "operator API listening",
		"Operators can reach this daemon with chicoryctl.", "Nothing.")
	OperatorRequestRefused = define(4101, log.WarnLevel, "operator request refused",
		"An operator's request was refused; status and detail give the reason.",
		"Check the status: 401 is an unknown token, 403 the token of another team, 412 a document that another operator changed first; detail explains the others.")
	CertificateReloaded = define(4110, log.InfoLevel, "certificate reloaded",
		"New connections use the certificate that the files now contain.", "Nothing.")
	CertificateNotReloaded = define(4111, log.ErrorLevel, "certificate not reloaded",
		"The files cannot be read or do not contain a certificate with its matching key; the last one that did stays in use, even if it expires.",
		"Write both files again; they are read every 10 seconds.")
)
