"""Development tools: test runner, its nose2 plugin and runner of the proofs."""
