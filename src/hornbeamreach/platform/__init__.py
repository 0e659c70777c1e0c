"""The platform that runs tasks on workers and reboots VMs."""
