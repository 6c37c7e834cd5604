"""What is believed of media hosts, and the list of them merged from its sources."""
