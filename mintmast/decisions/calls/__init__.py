"""Translation between the platform's requests and the controller's events and actions."""
