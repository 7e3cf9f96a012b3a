"""Request filters, placing, carrying and streams."""
