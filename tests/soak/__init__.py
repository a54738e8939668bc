"""Randomised runs of the real processes, checked from outside."""
