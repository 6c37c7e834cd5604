"""What viewers speak: adapters to the core that know nothing of hosts or decisions."""
