"""Decisions without sockets, files, sleeps, wall clock or global random."""
