"""Client of the platform's transactional table, object store and VM list."""
