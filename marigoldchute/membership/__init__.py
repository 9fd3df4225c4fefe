"""Members of the mesh and the backend servers that they announce."""
