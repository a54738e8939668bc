"""Decisions only: no sockets, files, sleeps, wall clock or global random."""
