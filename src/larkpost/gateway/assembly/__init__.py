"""Factories that build the component groups of one daemon."""
