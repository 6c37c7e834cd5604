"""Client protocols: adapters to the core that are independent of hosts and decisions."""
