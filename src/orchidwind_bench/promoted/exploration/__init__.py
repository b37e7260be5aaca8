"""Model checking of the change of primary: the product's own logic, played over modelled parts."""
