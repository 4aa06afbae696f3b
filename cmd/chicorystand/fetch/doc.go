// Package fetch is the stand-ins' HTTP client, built on nbhttp. Engines load weights
// and the KV caches of other engines with it, engines and plain services register
// themselves in the VM list, and the balancer checks whether daemons are ready.
package fetch
