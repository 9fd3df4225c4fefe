"""Orders to move a service to another release, from the order to its verdict."""
