"""What operators do, without the command line: change templates and ask the fleet."""
