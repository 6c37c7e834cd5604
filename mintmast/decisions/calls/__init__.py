"""The platform's calls as the module's events."""
