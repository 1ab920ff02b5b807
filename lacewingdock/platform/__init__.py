"""Clients and decoders for the platform that the deployment runs on."""
