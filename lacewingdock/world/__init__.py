"""Support for typed models of configuration, requests and upstreams."""
