"""Small stand-ins for the platform and for backend servers, with faults."""
