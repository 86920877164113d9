"""The users' platform: its names, formats and calls, translated at this boundary.

Nothing here decides, and nothing outside knows the platform's words.
"""
