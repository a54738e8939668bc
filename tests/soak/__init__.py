"""Soaks: real processes under random faults, checked from outside."""
