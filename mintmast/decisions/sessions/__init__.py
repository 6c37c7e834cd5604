"""What becomes of asks and sessions: the book and its parts."""
