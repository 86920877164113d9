"""Client of the platform's transactional table, object store and VM list.

Only ``galenaferry.entry`` uses it. ``galenaferry.node`` reads the store of another
platform, with the client in ``platform.store``.
"""
