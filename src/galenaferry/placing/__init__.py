"""Choice of the instance for a request, by the outcomes that all VMs share."""
