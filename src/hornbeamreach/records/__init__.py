"""Records of calls and jobs, replicated on a majority of a data centre's entry processes."""
