"""State of the media hosts, and the list of them merged from its sources."""
