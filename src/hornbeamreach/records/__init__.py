"""Request records that a majority of a data centre's entry processes keep."""
