"""``python3 -m rackswitch.gateway``."""

from rackswitch.gateway.main import main

if __name__ == "__main__":
    main()
