"""The planned stop of a VM."""
