"""Translates between the product and its first users' platform; decides nothing."""
