"""What all connections of a process share: processor, memory, descriptors."""
