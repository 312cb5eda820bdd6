"""Errors in documents that do not match their schema."""
