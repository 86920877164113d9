"""A proxy VM that reads its configuration and instances from a platform's store."""
