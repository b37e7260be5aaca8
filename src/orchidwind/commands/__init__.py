"""The command line of the daemon and of its operators."""
