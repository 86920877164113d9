"""HTTP administration interface of a VM."""
