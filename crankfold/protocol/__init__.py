"""HTTP as the deployment speaks it: state machines that are fed bytes and know no socket and no clock."""
