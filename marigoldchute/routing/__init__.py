"""The request path from caller to backend server."""
