"""Small helpers without a duty of their own."""
