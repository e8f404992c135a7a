"""Binary protocol between cranklane processes."""
