"""Runs the decisions of `core.managed`: connections, timers and watches, behind ports."""
