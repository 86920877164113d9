"""Choice of the instance for a request, by the outcomes that all VMs share.

``galenaferry.node`` uses it. ``galenaferry.entry`` uses ``backends.directory`` and the
verdicts of ``health`` instead.
"""
