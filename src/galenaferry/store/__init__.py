"""The platform's table service, object store and VM list, met over HTTP."""
