"""Fleet-wide duties, which only the current lease holder carries out."""
