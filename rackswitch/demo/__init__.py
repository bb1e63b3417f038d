"""The demonstration, and the embedded fleet that it shares with tests."""
