"""Log lines, metrics and traces of a gateway."""
