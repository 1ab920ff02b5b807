"""Programs that show how to use the library."""
