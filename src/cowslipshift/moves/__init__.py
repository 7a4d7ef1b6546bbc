"""Moves from one version of a service to the next, judged by evidence."""
