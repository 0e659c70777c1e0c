"""Entry points of the control and entry daemons."""
