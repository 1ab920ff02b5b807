"""Support for the platform that the deployment runs on."""
