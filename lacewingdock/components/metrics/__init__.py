"""Metrics of the daemons, and one log line for each request.

Each daemon imports its own module, `entry` or `sidecar`, so that a sidecar
spends no memory on modules that only an entry needs.
"""
