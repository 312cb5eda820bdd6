"""What is wrong with a document that does not fit its schema."""
