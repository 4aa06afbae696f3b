package peer

import "github.com/VictoriaMetrics/metrics"

func newTestSet() *metrics.Set { return metrics.NewSet() }
