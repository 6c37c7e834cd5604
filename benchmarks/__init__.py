"""Measurements on loopback and in memory; run by hand, never by the tests."""
