"""Adapter of the users' platform for ``galenaferry.node``: names, formats and calls.

It only translates and makes no decisions. The names of the platform's protocol and
files are used in this package only.
"""
