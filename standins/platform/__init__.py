"""The stand-ins that use paths, fields and settings of the users' platform."""
