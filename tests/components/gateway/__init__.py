"""Tests of the gateway, the callers' port of a router."""
