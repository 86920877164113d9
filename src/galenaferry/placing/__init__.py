"""Which instance gets a request, by what the fleet believes of all of them."""
