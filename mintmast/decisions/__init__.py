"""The gateway's decisions besides placement: pure state machines that receive the time and do no I/O."""
