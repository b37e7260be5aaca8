"""Decisions for managed groups: database groups that do not elect a primary by themselves."""
