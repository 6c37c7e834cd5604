"""The laboratory: stand-ins of what the gateway meets, load, faults, drills and audit. Nothing imports it."""
