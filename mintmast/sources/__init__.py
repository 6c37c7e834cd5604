"""Sources of the server list: settings, a watched file, a registry."""
