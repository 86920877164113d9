"""Backend servers: their instances, the choice among them and connections."""
