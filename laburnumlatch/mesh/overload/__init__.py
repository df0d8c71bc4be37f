"""What is delayed or refused when there is too little room."""
