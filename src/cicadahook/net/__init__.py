"""Network servers, clients and background tasks around the core logic."""
