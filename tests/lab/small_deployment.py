"""A small simulated deployment for tests."""

import tomllib

import msgspec

from lacewingdock.lab.deployment import Deployment

TEXT = """
name = "small"
seconds = 10.0
domains = ["a", "b"]
routers = 2
[engines]
per_domain = 2
slots = 16
cold_s = 3.0
cold_per_s = 10.0
models = [
  { name = "s", pace = 0.3, quality = 0.5, cost = 0.01 },
  { name = "l", pace = 3.0, quality = 1.0, cost = 0.2 },
]
[[traffic]]
name = "offer"
per_s = 20.0
tokens_in = { mean = 600.0, sigma = 0.8 }
tokens_out = { mean = 150.0, sigma = 0.5 }
shared_tokens = 500
subjects = 10
timeout_s = 8.0
"""
SMALL = tomllib.loads(TEXT)


def deployment(**changes):
    """Return a deployment of four engines behind four routers."""
    return msgspec.convert({**SMALL, **changes}, Deployment)
