"""Translation between the cooperative platform's messages and our types."""
