"""A VM of a fleet whose configuration and instances stand in a platform's store."""
