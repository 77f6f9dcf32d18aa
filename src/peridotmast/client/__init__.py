"""What callers of the chat API run."""
