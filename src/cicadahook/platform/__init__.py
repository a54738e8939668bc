"""Adapter to the cooperative platform on which `cicada-node` runs.

It translates the platform's settings, headers, store values and upstream calls
to the types of `core`; no other package knows the platform's names.
"""
