"""The control program: keeps operators' policy documents and their compiled rows for nodes."""
