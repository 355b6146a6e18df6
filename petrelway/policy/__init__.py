"""The operators' terms as versions: kept by a few front ends, adopted by all or by none."""
