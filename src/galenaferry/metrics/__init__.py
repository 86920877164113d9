"""OpenTelemetry metrics, read on request."""
