"""OpenTelemetry metrics, collected on request."""
