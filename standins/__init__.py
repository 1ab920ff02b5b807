"""Stand-ins of the systems that lacewingdock serves, for tests and demos."""
