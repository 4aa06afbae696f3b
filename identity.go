package chicoryhall

// EndpointID identifies an endpoint: a model engine or a VM of a plain service.
type EndpointID string

// DaemonID identifies a chicoryhall daemon.
type DaemonID string

// FailureDomain names a part of a region that fails as a whole.
type FailureDomain string

// Region names a group of failure domains.
type Region string

// Organisation names a customer whose callers share a credential and limits.
type Organisation string

// ServiceName names a service; there is one document for each.
type ServiceName string

// RequestID identifies a request across all daemons.
type RequestID string

// ClassName names a class of requests in a service's document.
type ClassName string

// AcceleratorKind names a kind of accelerator, as it is spelled in documents.
type AcceleratorKind string
