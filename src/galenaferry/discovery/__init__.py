"""Tables of the platform's store that a VM follows, and the instances in them."""
