"""Global traffic steering: look-ups, request routing and coordination."""
