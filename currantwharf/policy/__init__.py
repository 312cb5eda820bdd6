"""Policies shared by several packages: budgets, coverage, crash detection, hashing."""
