"""What the fleet does towards the operators' API, by one daemon at a time."""
