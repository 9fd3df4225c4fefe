"""Rollout orders of services, from the operator's document to the verdict."""
