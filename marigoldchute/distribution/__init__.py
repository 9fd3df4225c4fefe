"""Distribution of bundles from the platform's store to every node."""
