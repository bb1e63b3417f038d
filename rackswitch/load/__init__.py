"""Load and fault-injection tests of complete fleets."""
