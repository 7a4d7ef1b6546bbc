"""Look-ups and the choice of region, data centre and host."""
