"""Decisions that several packages share: budgets and coverage."""
