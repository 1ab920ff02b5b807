"""Discrete-event simulation of routers in front of model engines.

The simulation runs the router's own classes for choosing instances and models,
limiting retries and pacing cold instances, with a simulated clock and a seeded
random generator. Engines, links, callers and faults are simulated. A test on
real processes takes minutes; the simulation compares routing policies over many
seeds and deployments in seconds.

The simulation is not calibrated yet: it shows the effect of a routing decision,
not the credit that a real deployment would earn. No daemon loads this package.
"""
