"""Links between hosts and what they carry."""
