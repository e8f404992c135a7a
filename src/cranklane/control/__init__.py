"""The control process: stores policy documents and sends their compiled rows to nodes."""
