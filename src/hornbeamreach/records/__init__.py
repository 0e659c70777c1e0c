"""Request records, replicated on a majority of a data centre's entry processes."""
