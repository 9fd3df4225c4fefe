"""Node of a mesh whose bundles, orders and members are kept in a platform's store."""
