"""One module for each group of commands."""
