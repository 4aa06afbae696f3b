package event

import "github.com/charmbracelet/log"

// The events of the operators' interface and of certificates, 4100 to 4199.
var (
	OperatorsListening = define(4100, log.InfoLevel, "operators' interface listens",
		"Operators can reach this daemon with chicoryctl.", "Nothing.")
	OperatorRefused = define(4101, log.WarnLevel, "operator refused",
		"A request of an operator was refused; its status and reason are in the line.",
		"Look at the status: 401 and 403 are wrong tokens, 412 is a change that another operator's came before.")
	CertificateReloaded = define(4110, log.InfoLevel, "certificate reloaded",
		"New connections get the certificate that the files now hold.", "Nothing.")
	CertificateRefused = define(4111, log.ErrorLevel, "certificate refused",
		"The files no longer hold a certificate with its key; the last good one stays in use until it expires.",
		"Write both files again, the key first.")
)
