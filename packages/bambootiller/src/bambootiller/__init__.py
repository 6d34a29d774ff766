"""The programs of bambootiller and the adapters round the core."""
