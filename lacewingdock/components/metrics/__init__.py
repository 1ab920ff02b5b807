"""Support for metrics of the daemons and one log line for each request.

Each daemon imports its own module, `entry` or `sidecar`: a sidecar does not
spend memory on what only an entry needs.
"""
