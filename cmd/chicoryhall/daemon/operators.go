package daemon

import (
	"chicoryhall.example/chicoryhall/certificate"
	"chicoryhall.example/chicoryhall/operator"
)

// buildTLS reads the certificate for the caller and operator APIs, if the settings name one.
func (b *builder) buildTLS() error {
	if b.settings.TLS.Certificate == "" {
		return nil
	}
	reloader, err := certificate.New(b.settings.TLS.Certificate, b.settings.TLS.Key, b.timer, b.log)
	if err != nil {
		return err
	}
	b.tls = reloader.Config()
	return nil
}

// buildOperators adds the operator API.
func (b *builder) buildOperators() error {
	tokens, err := operator.LoadTokens(b.settings.OperatorTokensFile)
	if err != nil {
		return err
	}
	b.interfaces.Add(operator.NewServer(operator.Config{
		Address: b.settings.Listen.Operators, TLS: b.tls, Documents: b.configuration, Tokens: tokens, Log: b.log,
	}))
	return nil
}
