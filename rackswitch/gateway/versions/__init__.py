"""Roll-out of weight versions: load orders to engines, sent by one holder at a time."""
