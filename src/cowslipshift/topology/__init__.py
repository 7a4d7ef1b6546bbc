"""Objects that mirror the operators' world, built from a configuration."""
