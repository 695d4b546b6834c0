"""Parts of scripts/capacity: measured points, fits, the model of roles, the page and the plots."""
