"""Claims: a keyed request runs at most once, whatever VM it comes through."""
