"""Stand-ins for the upstreams and platform services of a deployment.

The tests, the soak, the benchmarks and the local system run against them.
"""
