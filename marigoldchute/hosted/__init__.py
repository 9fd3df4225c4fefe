"""Node in a mesh whose bundles, orders and members lie in a platform's store."""
