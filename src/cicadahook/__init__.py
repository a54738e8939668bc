"""cicadahook serves many models on few accelerators."""
