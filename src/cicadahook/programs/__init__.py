"""One module a program: settings, wiring, start, drain, exit."""
