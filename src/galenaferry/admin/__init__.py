"""The administration interface of a VM."""
