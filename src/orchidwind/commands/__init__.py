"""The command line interface: the proxy daemon and the commands for operators."""
