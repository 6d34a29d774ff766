"""Small stand-ins for the outside systems, a load tool and experiments."""
