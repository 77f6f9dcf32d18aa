"""Client of the chat API."""
