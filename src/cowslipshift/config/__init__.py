"""The operators' configuration: format, checks, changes, resolution."""
