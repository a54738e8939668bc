"""Entry points of the command lines and daemons, and what they share."""
