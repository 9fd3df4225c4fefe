"""Development tools: test runner and its plugins."""
